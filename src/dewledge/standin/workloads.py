"""The statements of the two deployments, by name, for demo, quickstart and measurements."""

import msgspec

from dewledge.core.proxy.calls import Access, Scalar, Statement


class NamedStatement(msgspec.Struct, frozen=True):
    """A statement with a name. once: it may not be repeated, so it goes with an idempotency key."""

    name: str
    sql: str
    access: Access
    once: bool = False

    def with_parameters(self, *parameters: Scalar) -> Statement:
        """Returns the statement with its parameters."""
        return Statement(self.sql, parameters)


class Workload(msgspec.Struct, frozen=True):
    """The tables of a deployment and what its callers do with them."""

    schema: tuple[str, ...]
    statements: tuple[NamedStatement, ...]

    def statement(self, name: str) -> NamedStatement:
        """Returns the statement of that name. Raises KeyError."""
        return {item.name: item for item in self.statements}[name]


FILE_APPLICATION = NamedStatement(
    name="file_application",
    sql="INSERT INTO applications (reference, applicant, site, fee) VALUES (?, ?, ?, ?)",
    access=Access.WRITE,
    once=True,
)
AMEND_APPLICATION = NamedStatement(
    name="amend_application",
    sql="UPDATE applications SET site = ?, amended = amended + 1 WHERE reference = ?",
    access=Access.WRITE,
)
DECIDE_APPLICATION = NamedStatement(
    name="decide_application",
    sql="INSERT INTO decisions (reference, officer, verdict, conditions) VALUES (?, ?, ?, ?)",
    access=Access.WRITE,
    once=True,
)
READ_APPLICATION = NamedStatement(
    name="read_application",
    sql="SELECT reference, applicant, site, fee, amended FROM applications WHERE reference = ?",
    access=Access.READ,
)
READ_CASE_STATUS = NamedStatement(
    name="read_case_status",
    sql=(
        "SELECT applications.reference, decisions.verdict, decisions.conditions "
        "FROM applications LEFT JOIN decisions ON decisions.reference = applications.reference "
        "WHERE applications.reference = ?"
    ),
    access=Access.READ,
)

PERMITS_WORKLOAD = Workload(
    schema=(
        "CREATE TABLE IF NOT EXISTS applications (reference TEXT PRIMARY KEY, "
        "applicant TEXT NOT NULL, site TEXT NOT NULL, fee INTEGER NOT NULL, "
        "amended INTEGER NOT NULL DEFAULT 0)",
        "CREATE TABLE IF NOT EXISTS decisions (id INTEGER PRIMARY KEY, "
        "reference TEXT NOT NULL, officer TEXT NOT NULL, verdict TEXT NOT NULL, conditions TEXT)",
        "CREATE INDEX IF NOT EXISTS decisions_by_reference ON decisions (reference)",
    ),
    statements=(
        FILE_APPLICATION,
        AMEND_APPLICATION,
        DECIDE_APPLICATION,
        READ_APPLICATION,
        READ_CASE_STATUS,
    ),
)

RECORD_DIET_ORDER = NamedStatement(
    name="record_diet_order",
    sql=(
        "INSERT INTO diet_orders (resident, texture, allergies) VALUES (?, ?, ?) "
        "ON CONFLICT (resident) DO UPDATE SET texture = excluded.texture, "
        "allergies = excluded.allergies"
    ),
    access=Access.WRITE,
)
RECORD_SUBSTITUTION = NamedStatement(
    name="record_substitution",
    sql="INSERT INTO substitutions (meal, dish, substitute) VALUES (?, ?, ?)",
    access=Access.WRITE,
    once=True,
)
PLACE_SUPPLIER_ORDER = NamedStatement(
    name="place_supplier_order",
    sql="INSERT INTO supplier_orders (week, supplier, item, kilograms) VALUES (?, ?, ?, ?)",
    access=Access.WRITE,
    once=True,
)
READ_ALLERGIES = NamedStatement(
    name="read_allergies",
    sql="SELECT resident, texture, allergies FROM diet_orders WHERE resident = ?",
    access=Access.READ,
)
READ_SUBSTITUTIONS = NamedStatement(
    name="read_substitutions",
    sql="SELECT dish, substitute FROM substitutions WHERE meal = ?",
    access=Access.READ,
)
READ_ORDERING_LIST = NamedStatement(
    name="read_ordering_list",
    sql=(
        "SELECT supplier, item, SUM(kilograms) FROM supplier_orders WHERE week = ? "
        "GROUP BY supplier, item ORDER BY supplier, item"
    ),
    access=Access.READ,
)

MENUS_WORKLOAD = Workload(
    schema=(
        "CREATE TABLE IF NOT EXISTS diet_orders (resident TEXT PRIMARY KEY, "
        "texture TEXT NOT NULL, allergies TEXT NOT NULL)",
        "CREATE TABLE IF NOT EXISTS substitutions (id INTEGER PRIMARY KEY, meal TEXT NOT NULL, "
        "dish TEXT NOT NULL, substitute TEXT NOT NULL)",
        "CREATE INDEX IF NOT EXISTS substitutions_by_meal ON substitutions (meal)",
        "CREATE TABLE IF NOT EXISTS supplier_orders (id INTEGER PRIMARY KEY, "
        "week TEXT NOT NULL, supplier TEXT NOT NULL, item TEXT NOT NULL, "
        "kilograms REAL NOT NULL)",
        "CREATE INDEX IF NOT EXISTS supplier_orders_by_week ON supplier_orders (week)",
    ),
    statements=(
        RECORD_DIET_ORDER,
        RECORD_SUBSTITUTION,
        PLACE_SUPPLIER_ORDER,
        READ_ALLERGIES,
        READ_SUBSTITUTIONS,
        READ_ORDERING_LIST,
    ),
)
