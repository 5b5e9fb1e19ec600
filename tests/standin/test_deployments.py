"""The deployments: their resources, statements, addresses and the commands that use them."""

import tempfile
import unittest
from pathlib import Path
from random import Random

from typer.testing import CliRunner

from dewledge.cli.standin_commands import app
from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.resource_documents import check_configuration, load_documents
from dewledge.standin.deployment_resources import demonstration_token, resources_of
from dewledge.standin.deployments import DEPLOYMENTS, CallerRole
from dewledge.standin.fixed_addresses import admin_address, database_addresses
from dewledge.standin.group_model import GroupModel

SAMPLE_VALUE = "1"


class DeploymentTest(unittest.TestCase):
    def test_resources_are_sound_and_give_each_role_its_access(self) -> None:
        expected = {
            CallerRole.WRITER: (True, True, False),
            CallerRole.READER: (True, False, False),
            CallerRole.OPERATOR: (False, False, True),
        }
        for deployment in DEPLOYMENTS.values():
            resources = resources_of(deployment, database_addresses(deployment))
            configuration = Configuration(1, resources)
            self.assertEqual(check_configuration(configuration), [])
            policy = AccessPolicy(configuration)
            group = deployment.groups[0]
            for caller in deployment.callers:
                with self.subTest(deployment.name, caller=caller.name):
                    token = demonstration_token(deployment, caller.name)
                    self.assertEqual(policy.authenticate(token), caller.name)
                    allowed = (
                        policy.may_use(caller.name, group, Access.READ, "proxy"),
                        policy.may_use(caller.name, group, Access.WRITE, "proxy"),
                        policy.may_operate(caller.name),
                    )
                    self.assertEqual(allowed, expected[caller.role])

    def test_sizes_are_those_of_the_brief(self) -> None:
        for deployment in DEPLOYMENTS.values():
            self.assertEqual(len(deployment.sites), 3)
            self.assertEqual(len(deployment.groups), 3)
            for group in deployment.groups:
                places = deployment.databases_of(group).values()
                self.assertEqual({place.region for place in places}, set(deployment.sites))

    def test_addresses_differ(self) -> None:
        for deployment in DEPLOYMENTS.values():
            addresses = list(database_addresses(deployment).values())
            addresses += [admin_address(deployment, group) for group in deployment.groups]
            self.assertEqual(len(addresses), len(set(addresses)))

    def test_every_statement_runs_on_the_schema(self) -> None:
        for deployment in DEPLOYMENTS.values():
            settings = deployment.group_settings(deployment.groups[0])
            databases = tuple(item.to_model() for item in settings.databases)
            model = GroupModel(settings.name, databases, settings.timing(), Random(0))
            session = model.open_session(databases[0].name, 0.0)
            for sql in deployment.workload.schema:
                model.execute(session, Statement(sql), Access.WRITE, 0.0)
            for statement in deployment.workload.statements:
                with self.subTest(statement.name):
                    values = [SAMPLE_VALUE] * statement.sql.count("?")
                    sample = statement.with_parameters(*values)
                    model.execute(session, sample, statement.access, 0.0)


class CommandTest(unittest.TestCase):
    def run_command(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, list(arguments))
        return result.exit_code, result.output

    def test_printed_resources_read_back(self) -> None:
        for name, deployment in DEPLOYMENTS.items():
            code, output = self.run_command("resources", "--deployment", name)
            expected = resources_of(deployment, database_addresses(deployment))
            self.assertEqual(code, 0)
            self.assertEqual(load_documents(output, "output"), expected)

    def test_wrong_use_is_refused_with_what_would_be_right(self) -> None:
        rows = (
            (("group",), "--deployment"),
            (("group", "--deployment", "permits", "--group", "none"), "kumasi-cases"),
            (("group", "--config", "/nonexistent.toml"), "nonexistent"),
            (("platform", "--address", "nowhere"), "flags address"),
        )
        for arguments, mentioned in rows:
            with self.subTest(arguments):
                code, output = self.run_command(*arguments)
                self.assertNotEqual(code, 0)
                self.assertIn(mentioned, output)

    def test_every_finding_of_a_settings_file_is_printed(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "group.toml"
            path.write_text('name = 3\nheartbeat = "soon"\nextra = 1\n')
            code, output = self.run_command("group", "--config", str(path))
        self.assertEqual(code, 2)
        for place in ("name", "heartbeat", "extra", "databases"):
            self.assertIn(place, output)


if __name__ == "__main__":
    unittest.main()
