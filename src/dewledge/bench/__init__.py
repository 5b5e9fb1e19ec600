"""The experiment tool: the two measures of the brief, on the simulator, beside naive baselines."""
