"""Writes the fixtures anew: `python -m tests.outside_forms.write`. Only where a form may change."""

from tests.outside_forms.forms import collect, fixture


def main() -> None:
    for name, lines in collect().items():
        fixture(name).write_text("\n".join(lines) + "\n")
        print(f"{name}: {len(lines)} lines")


if __name__ == "__main__":
    main()
