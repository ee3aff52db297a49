#pragma once

/** \file
 * Defines a simulated deployment whose gateways keep the quota of one team, without a network.
 */

#include "policy/quotagate.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace jujube::test {

/** Simulated gateways that exchange delayed, lost and reordered messages, and clients of a team.
 *
 * Refused clients retry until they are admitted or give up, as those of a real team do.
 */
class QuotaFleet
{
public:
    struct Settings
    {
        size_t gateways = 29;
        bool hub = true;
        policy::QuotaRate quota{36'000, 36'000};
        policy::QuotaTerms terms{core::Milliseconds(8'000), 0.1, 140'000};
        double requestTokens = 12'000;
        double loss = 0.02; ///< Share of datagrams that are lost.
        core::Milliseconds patience{10'000};
        uint64_t seed = 41;
    };

    explicit QuotaFleet(Settings settings);

    /** Runs for some time with requests that arrive at random.
     * \param weights of the gateways; empty: all are equal. */
    void run(core::Milliseconds time, double requestsPerSecond, std::vector<double> weights = {});
    /** Replaces the process of a gateway; its ledger starts empty, as a new process's does. */
    void restart(size_t gateway);
    void stop(size_t gateway) { m_gateways.at(gateway).up = false; }
    void add();
    void setPaused(size_t gateway, bool paused) { m_gateways.at(gateway).paused = paused; }
    /** Cuts the way from one gateway to another. */
    void cut(size_t from, size_t to, bool isCut);
    /** Cuts a gateway off from all others, in both directions. */
    void isolate(size_t gateway, bool isCut);
    /** The hub in the view of one gateway. */
    void setHub(size_t gateway, size_t hub) { m_gateways.at(gateway).hub = hub; }
    void setHubOfAll(size_t hub);
    void setQuota(const std::optional<policy::QuotaRate> &quota);

    /** Most tokens that ran in any window that begins at or after a time. */
    double mostInWindow(core::TimePoint from) const;
    double tokensSince(core::TimePoint from) const;
    /** What a window may hold. */
    double allowed() const;
    size_t refusals() const { return m_refusals; }
    size_t admissions() const { return m_ran.size(); }
    core::TimePoint now() const { return m_now; }
    policy::QuotaMode modeOf(size_t gateway) { return m_gateways.at(gateway).gate->mode(m_now); }
    policy::QuotaLedger &ledgerOf(size_t gateway) { return *m_gateways.at(gateway).ledger; }
    /** Sends one request to a gateway. */
    void request(size_t gateway, double tokens);

private:
    enum class Kind { Full, Load, Summary };
    struct Message
    {
        core::TimePoint at{};
        size_t from = 0;
        size_t to = 0;
        Kind kind = Kind::Full;
        uint64_t run = 0;
        uint64_t sequence = 0;
        std::vector<policy::QuotaCount> counts;
        std::vector<policy::QuotaLevel> levels;
        std::vector<uint64_t> heard;
        bool operator>(const Message &other) const { return at > other.at; }
    };
    struct Gateway
    {
        uint64_t run = 0;
        uint64_t sequence = 0;
        size_t hub = 0;
        bool up = true;
        bool paused = false;
        std::unique_ptr<policy::QuotaLedger> ledger;
        std::unique_ptr<policy::QuotaGate> gate;
        std::vector<std::pair<policy::QuotaHold, core::TimePoint>> waiting;
        core::TimePoint exchangedAt{};
        core::TimePoint broadcastAt{};
        std::deque<Message> arrived; ///< While it is paused.
    };
    struct Retry
    {
        core::TimePoint at{};
        core::TimePoint bornAt{};
        double tokens = 0;
        bool operator>(const Retry &other) const { return at > other.at; }
    };

    void start(Gateway &gateway, bool firstStart);
    void step(double requestsPerSecond, const std::vector<double> &weights);
    void exchange(size_t i);
    void send(size_t from, size_t to, Kind kind);
    void receive(const Message &message);
    void settle(Gateway &gateway);
    void arrive(size_t i, double tokens, core::TimePoint bornAt);
    void refuse(double tokens, core::TimePoint bornAt, core::Milliseconds retryIn);
    size_t pick(const std::vector<double> &weights);

    Settings m_settings;
    std::optional<policy::QuotaRate> m_quota;
    core::TimePoint m_now{std::chrono::hours(1)};
    std::mt19937_64 m_random;
    std::vector<Gateway> m_gateways;
    std::vector<std::vector<bool>> m_cut;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::priority_queue<Retry, std::vector<Retry>, std::greater<>> m_retries;
    std::vector<std::pair<core::TimePoint, double>> m_ran;
    size_t m_refusals = 0;
    uint64_t m_runs = 0;
};

} // namespace jujube::test
