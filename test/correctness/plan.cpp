/** \file
 * Tests that order numbers grow with every change and every term, and that a plan is unchanged
 * after storage.
 */

#include "state/plan.h"

#include <criterion/criterion.h>

using namespace jujube;
using state::OrderNumber;
using state::Plan;

Test(plan, an_endpoint_gets_a_new_number_only_when_it_changes)
{
    Plan plan;
    plan.term = 3;
    cr_assert(plan.setEndpoint("vm", core::Role::Mixed, core::EngineIntent::Active));
    const OrderNumber first = plan.endpoints["vm"].number;
    cr_assert_not(plan.setEndpoint("vm", core::Role::Mixed, core::EngineIntent::Active));
    cr_assert(plan.endpoints["vm"].number == first);
    cr_assert(plan.setEndpoint("vm", core::Role::Decode, core::EngineIntent::Active));
    cr_assert(first < plan.endpoints["vm"].number);
}

Test(plan, a_new_term_outranks_every_sequence_of_the_old_one)
{
    cr_assert((OrderNumber{2, 999} < OrderNumber{3, 0}));
}

Test(plan, a_stored_plan_is_read_back_unchanged)
{
    Plan plan;
    plan.term = 5;
    plan.holder = "entry1";
    plan.writeNumber = 8;
    plan.setEndpoint("vm", core::Role::Prefill, core::EngineIntent::Withdrawn);
    plan.fleetOrders.push_back({"remove-vm-1", state::FleetAction::Remove, "domain-1", "vm",
                                state::FleetOrderState::Intended, 42});
    const auto read = Plan::parse(plan.serialize());
    cr_assert(read.ok());
    cr_assert_eq(read->serialize(), plan.serialize());
    cr_assert(read->endpoints.at("vm").role == core::Role::Prefill);
    cr_assert(read->fleetOrders.at(0).state == state::FleetOrderState::Intended);
}

Test(plan, an_unreadable_value_is_an_error_and_not_an_empty_plan)
{
    cr_assert_not(Plan::parse("{broken").ok());
    cr_assert(Plan::parse("").ok());
}
