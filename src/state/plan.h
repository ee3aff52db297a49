#pragma once

/** \file
 * Defines the plan of a scope: the desired state of every endpoint, stored as one KV value.
 */

#include "core/configuration.h"
#include "core/work.h"

#include <absl/status/statusor.h>

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace jujube::state {

/** Number of an order to an endpoint.
 *
 * The term grows with every new controller, the sequence with every change of a plan.
 */
struct OrderNumber
{
    uint64_t term = 0;
    uint64_t sequence = 0;

    auto operator<=>(const OrderNumber &) const = default;
};

/** Desired state of one endpoint. */
struct EndpointPlan
{
    core::Role role = core::Role::Mixed;
    core::EngineIntent intent = core::EngineIntent::Active;
    OrderNumber number; ///< Number of the last change of this endpoint.
};

/** Action that an order asks of the platform: add or remove an endpoint. */
enum class FleetAction { Add, Remove };

/** Progress of an order to the platform. Stored before it is sent and marked done afterwards. */
enum class FleetOrderState { Intended, Done };

/** An order to the platform to add or remove an endpoint. */
struct FleetOrder
{
    std::string id;
    FleetAction action = FleetAction::Add;
    std::string domain;
    std::string vm; ///< The VM to remove.
    FleetOrderState state = FleetOrderState::Intended;
    int64_t intendedAtMs = 0; ///< Wall-clock time at which the order was planned.
};

/** The plan of one scope. Only the controller with the highest term can change it. */
struct Plan
{
    uint64_t term = 0;
    uint64_t sequence = 0;
    std::string holder;       ///< Controller that wrote the plan.
    uint64_t writeNumber = 0; ///< Makes every written value unique.
    std::map<std::string, EndpointPlan> endpoints;
    std::vector<FleetOrder> fleetOrders;

    /** Parses a stored plan; an empty text is an empty plan. \return DataLoss if unreadable. */
    static absl::StatusOr<Plan> parse(const std::string &text);
    std::string serialize() const;

    /** Sets an endpoint's desired state under a new number. \return false if nothing changed. */
    bool setEndpoint(const std::string &vm, core::Role role, core::EngineIntent intent);
    OrderNumber number() const { return {term, sequence}; }
};

std::string planKey(const std::string &scope);

} // namespace jujube::state
