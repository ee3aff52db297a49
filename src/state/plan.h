#pragma once

/** \file
 * Defines the plan of a scope: the wanted state of every endpoint, kept as one KV value.
 */

#include "core/configuration.h"
#include "core/work.h"

#include <absl/status/statusor.h>

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace jujube::state {

/** Number of an order. It grows with every controller (term) and every change (sequence). */
struct OrderNumber
{
    uint64_t term = 0;
    uint64_t sequence = 0;

    auto operator<=>(const OrderNumber &) const = default;
};

/** Wanted state of one endpoint. */
struct EndpointPlan
{
    core::Role role = core::Role::Mixed;
    core::EngineIntent intent = core::EngineIntent::Active;
    OrderNumber number; ///< Of the last change of this endpoint.
};

/** What is asked of the platform's interface for endpoints. */
enum class FleetAction { Add, Remove };

/** Progress of an order to the platform. Written before it is sent, marked done afterwards. */
enum class FleetOrderState { Intended, Done };

struct FleetOrder
{
    std::string id;
    FleetAction action = FleetAction::Add;
    std::string domain;
    std::string vm; ///< For Remove.
    FleetOrderState state = FleetOrderState::Intended;
    int64_t intendedAtMs = 0; ///< Wall clock.
};

/** The plan of one scope. Only the controller of the highest term can change it. */
struct Plan
{
    uint64_t term = 0;
    uint64_t sequence = 0;
    std::string holder;       ///< Controller that wrote it.
    uint64_t writeNumber = 0; ///< Makes every written value unique.
    std::map<std::string, EndpointPlan> endpoints;
    std::vector<FleetOrder> fleetOrders;

    static absl::StatusOr<Plan> parse(const std::string &text);
    std::string serialize() const;

    /** Changes an endpoint's wanted state under a new number. \return false if nothing changed. */
    bool setEndpoint(const std::string &vm, core::Role role, core::EngineIntent intent);
    OrderNumber number() const { return {term, sequence}; }
};

std::string planKey(const std::string &scope);

} // namespace jujube::state
