"""Steps for the account of bytes held for callers."""

from behave import given, then
from hypothesis import given as given_any
from hypothesis import strategies as st

from bilberryshed.coordination.memory import HeldBytes, HeldKind

CHANGES = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.sampled_from(HeldKind),
        st.integers(0, 100),
        st.booleans(),
    ),
    max_size=40,
)

NOW = 10.0  # monotonic time in seconds


@given("an account of {total:d} bytes with")
def given_account(context, total):
    context.account = HeldBytes(total)
    for row in context.table:
        since = NOW - float(row.get("age", 1))
        kind, has_key = HeldKind[row["kind"]], row["key"] == "yes"
        context.account.put(int(row["connection"]), kind, int(row["size"]), since, has_key)


@then("the victims are {numbers}")
def then_victims(context, numbers):
    expected = [int(number) for number in numbers.split(", ")]
    assert context.account.victims(NOW) == expected, context.account.victims(NOW)


@then(
    "for any changes, the sum is exact, and without the victims it is within the total or only "
    "whole requests"
)
def then_any_changes(context):
    @given_any(CHANGES)
    def check(changes):
        account = HeldBytes(150)
        for now, (connection, kind, size, has_key) in enumerate(changes):
            account.put(connection, kind, size, float(now), has_key)
            check_account(account, float(now))

    check()


def check_account(account, now):
    """Check the sum, the kinds of the victims, and the account without them."""
    holdings = account.holdings
    assert account.held == sum(holding.size for holding in holdings.values())
    victims = account.victims(now)
    kinds = [holdings[number].kind for number in victims]
    assert kinds == sorted(kinds) and HeldKind.WHOLE not in kinds
    for number in victims:
        # Each victim was needed: before it, the account was over its total.
        assert account.held > account.total
        account.release(number)
    rest = {holding.kind for holding in holdings.values()}
    assert account.held <= account.total or rest == {HeldKind.WHOLE}
