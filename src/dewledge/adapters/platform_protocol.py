"""The HTTP protocol of the platform stand-in, shared by its server and the adapters.

GET /table?key=K; POST /table/transact with rows, all written or none; GET and PUT
/objects?name=N with raw bytes; GET /machines; PUT and DELETE /machines?name=N.
"""

from urllib.parse import urlencode

import msgspec

from dewledge.core.proxy.ports import MachineState, Row, RowWrite

TABLE_PATH = "/table"
TRANSACT_PATH = "/table/transact"
OBJECTS_PATH = "/objects"
MACHINES_PATH = "/machines"
KEY_PARAMETER = "key"
NAME_PARAMETER = "name"

OK_STATUS = 200
NOT_FOUND_STATUS = 404
CONDITION_FAILED_STATUS = 409
RATE_LIMITED_STATUS = 429
UNAVAILABLE_STATUS = 503

encode_body = msgspec.json.Encoder().encode
decode_row = msgspec.json.Decoder(Row).decode
decode_rows = msgspec.json.Decoder(tuple[Row, ...]).decode
decode_writes = msgspec.json.Decoder(tuple[RowWrite, ...]).decode
decode_machine = msgspec.json.Decoder(MachineState).decode
decode_machines = msgspec.json.Decoder(tuple[MachineState, ...]).decode


def with_parameter(path: str, parameter: str, value: str) -> str:
    """Returns the path with one query parameter."""
    return f"{path}?{urlencode({parameter: value})}"
