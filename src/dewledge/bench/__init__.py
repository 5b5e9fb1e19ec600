"""The experiment tool: load, scenarios, baselines and reports."""
