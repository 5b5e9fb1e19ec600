"""What the callers of each deployment do in the demo, in the terms of their own work."""

from abc import ABC, abstractmethod

from dewledge.core.proxy.calls import Scalar, Statement
from dewledge.standin.deployments import MENUS, PERMITS, Deployment, DeploymentName
from dewledge.standin.workloads import (
    AMEND_APPLICATION,
    FILE_APPLICATION,
    PLACE_SUPPLIER_ORDER,
    READ_ALLERGIES,
    READ_APPLICATION,
    RECORD_DIET_ORDER,
)


class Scene(ABC):
    """The statements of one deployment. A record is known by a reference, such as a case number.

    writer, reader: callers. newcomer: a service that is still served by scripts.
    create_does, amend_does, once_does: what people call these writes.
    """

    deployment: Deployment
    writer: str
    reader: str
    newcomer: str
    create_does: str
    amend_does: str
    once_does: str

    @property
    def group(self) -> str:
        """The group that the demo works with."""
        return self.deployment.groups[0]

    @property
    def primary(self) -> str:
        """The database that is primary at the start."""
        return next(iter(self.deployment.databases_of(self.group)))

    @abstractmethod
    def create(self, reference: str) -> Statement:
        """Creates a record."""

    @abstractmethod
    def amend(self, reference: str, text: str) -> Statement:
        """Changes a record, so that reading it shows `text`."""

    @abstractmethod
    def read(self, reference: str) -> Statement:
        """Reads a record."""

    @abstractmethod
    def amended_text(self, row: list[Scalar]) -> Scalar:
        """Returns the text that the latest change of a record wrote."""

    @abstractmethod
    def once(self, reference: str) -> Statement:
        """A write that costs money, and so may take effect only once."""

    @abstractmethod
    def count_once(self, reference: str) -> Statement:
        """Counts the effects of `once`."""


class PermitsScene(Scene):
    """Applicants file and amend applications; filing one charges a fee."""

    deployment = PERMITS
    writer = "applicants"
    reader = "portal"
    newcomer = "inspections"
    create_does = "an applicant files an application"
    amend_does = "amends it"
    once_does = "a submission that charges a fee"

    def create(self, reference: str) -> Statement:
        """Files an application."""
        return FILE_APPLICATION.with_parameters(reference, "A. Mensah", "Osu, plot 12", 450)

    def amend(self, reference: str, text: str) -> Statement:
        """Changes the site of an application."""
        return AMEND_APPLICATION.with_parameters(text, reference)

    def read(self, reference: str) -> Statement:
        """Reads an application."""
        return READ_APPLICATION.with_parameters(reference)

    def amended_text(self, row: list[Scalar]) -> Scalar:
        """Returns the site."""
        return row[2]

    def once(self, reference: str) -> Statement:
        """Files an application and so charges its fee."""
        return FILE_APPLICATION.with_parameters(reference, "K. Boateng", "Labone, plot 3", 900)

    def count_once(self, reference: str) -> Statement:
        """Counts the applications with this reference."""
        return Statement("SELECT COUNT(*) FROM applications WHERE reference = ?", (reference,))


class MenusScene(Scene):
    """Kitchens record diet orders and order from suppliers."""

    deployment = MENUS
    writer = "kitchens"
    reader = "dietitians"
    newcomer = "night-kitchen"
    create_does = "a cook records a diet order"
    amend_does = "changes it"
    once_does = "a supplier order"

    def create(self, reference: str) -> Statement:
        """Records a diet order."""
        return RECORD_DIET_ORDER.with_parameters(reference, "soft", "none known")

    def amend(self, reference: str, text: str) -> Statement:
        """Replaces the allergies of a diet order."""
        return RECORD_DIET_ORDER.with_parameters(reference, "soft", text)

    def read(self, reference: str) -> Statement:
        """Reads a diet order."""
        return READ_ALLERGIES.with_parameters(reference)

    def amended_text(self, row: list[Scalar]) -> Scalar:
        """Returns the allergies."""
        return row[2]

    def once(self, reference: str) -> Statement:
        """Orders fish."""
        return PLACE_SUPPLIER_ORDER.with_parameters(reference, "harbour", "fresh fish", 12.5)

    def count_once(self, reference: str) -> Statement:
        """Counts the supplier orders of this reference."""
        return Statement("SELECT COUNT(*) FROM supplier_orders WHERE week = ?", (reference,))


SCENES: dict[DeploymentName, Scene] = {
    DeploymentName.PERMITS: PermitsScene(),
    DeploymentName.MENUS: MenusScene(),
}
