/** \file
 * Tests of what gateways exchange on the quotas of teams.
 */

#include "serving/teamquotas.h"
#include "core/eventlog.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

constexpr serving::MeshPosition WithoutHub{};

// One gateway of a deployment without a hub.
struct Node
{
    explicit Node(const std::string &name)
        : settings{.name = name}, quotas(io, settings, random, [this]() { ++reports; })
    {
        core::startEventLog("test", core::LogSettings{core::LogTarget::None});
    }

    serving::GossipMessage message()
    {
        serving::GossipMessage gossip;
        gossip.name = settings.name;
        gossip.run = std::hash<std::string>()(settings.name);
        gossip.sequence = ++sequence;
        quotas.addTo(gossip, WithoutHub);
        return gossip;
    }

    serving::TeamQuotas::Answer request(const serving::TeamConfig &team, uint32_t tokens)
    {
        serving::RequestMetadata metadata;
        metadata.promptTokens = tokens;
        serving::TeamQuotas::Answer answer;
        quotas.admit(team, metadata,
                     [&answer](const serving::TeamQuotas::Answer &it) { answer = it; });
        return answer;
    }

    boost::asio::io_context io;
    serving::NodeSettings settings;
    std::mt19937_64 random{5};
    int reports = 0;
    uint64_t sequence = 0;
    serving::TeamQuotas quotas;
};

serving::FleetConfig configWith(const std::optional<serving::TeamQuota> &quota)
{
    serving::FleetConfig config;
    config.teams.push_back({"team-a", std::nullopt, quota});
    return config;
}

} // namespace

// Guards against bytes and work that quotas cost where no team has one.
Test(teamquotas, a_deployment_without_quotas_exchanges_nothing_more)
{
    Node node("a");
    const auto config = configWith(std::nullopt);
    node.quotas.configure(config);
    node.quotas.addGateway("b");
    serving::GossipMessage plain = node.message();
    cr_assert(plain.quotaCounts.empty() && plain.quotaLevels.empty() && plain.heardPeers.empty());
    cr_assert(node.quotas.levelsFor("b").empty());
    cr_assert(node.request(config.teams.front(), 1'000'000).admitted);
    cr_assert_eq(node.reports, 0);
}

// Guards against fields that are lost on the wire, and against a gateway that does not count what
// its peer has charged.
Test(teamquotas, a_peer_learns_of_charges_and_refunds_from_a_datagram)
{
    Node one("a");
    Node two("b");
    const auto config = configWith(serving::TeamQuota{1, 10'000, true, 500});
    const auto &team = config.teams.front();
    const auto deliver = [](Node &from, Node &to) {
        const auto message = serving::decodeGossip(serving::encodeGossip(from.message()));
        cr_assert(message.ok());
        to.quotas.onGossip(*message, WithoutHub);
    };
    for (Node *it : {&one, &two}) {
        it->quotas.configure(config);
        it->quotas.addGateway(it == &one ? "b" : "a");
    }
    deliver(one, two);
    deliver(two, one);
    deliver(one, two);
    const auto charged = one.request(team, 2'000);
    cr_assert(charged.admitted);
    cr_assert_eq(one.reports, 1);
    cr_assert_eq(one.request(team, 0).charge.tokens, 500); // States no size.
    deliver(one, two);
    cr_assert_not(two.request(team, 7'900).admitted);
    cr_assert_gt(two.request(team, 7'900).retryAfter, 0ms);
    one.quotas.refund(charged.charge);
    deliver(one, two);
    cr_assert(two.request(team, 2'000).admitted);
}
