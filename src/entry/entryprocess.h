#pragma once

/** \file
 * Defines the objects of an entry process that live on its KJ thread.
 */

#include "control/controller.h"
#include "control/usagereporter.h"
#include "entry/entrysettings.h"
#include "entry/entryview.h"
#include "entry/fleetview.h"
#include "entry/kvmirror.h"
#include "entry/operatorapi.h"
#include "entry/peerset.h"
#include "entry/requestsession.h"
#include "wire/rpc.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace jujube::entry {

/** Owns the objects of an entry's KJ thread, connects them and runs the periodic tasks. */
class EntryProcess
{
public:
    EntryProcess(wire::IoContext &io, EntrySettings settings, EntryView &view);
    ~EntryProcess();

    /** Listens for RPC, registers the entry and mirrors the KV. Calls \a failed if the RPC address
     * cannot be bound. */
    void start(std::function<void(absl::Status)> failed);
    /** Shuts down gracefully: finishes the sessions, writes the usage counts, deregisters.
     *
     * Calls \a stopped at the end. */
    void stop(std::function<void()> stopped);

    /** Starts the session of a caller's request. */
    std::shared_ptr<RequestSession> runSession(CallerRequest request, AnswerSink sink);
    /** Writes a configuration shard if its revision is still \a fromRevision. */
    void publish(const std::string &shard, uint64_t fromRevision, const std::string &value,
                 OperatorCallback done);
    /** Collects the events of all processes after the hybrid time \a after. */
    void timeline(uint64_t after, OperatorCallback done);

private:
    class PeerServer;
    class AgentStub;

    wire::Task<void> startup(std::function<void(absl::Status)> failed);
    wire::Task<void> shutdown(std::function<void()> stopped);
    wire::Task<void> registerLoop();
    wire::Task<void> usageFlushLoop();
    wire::Task<void> publishViewLoop();
    wire::Task<void> pruneEntriesLoop();
    wire::Task<void> runAndRemoveSession(std::shared_ptr<RequestSession> session);
    wire::Task<void> publishShard(std::string shard, uint64_t fromRevision, std::string value,
                                  OperatorCallback done);
    wire::Task<void> collectTimeline(uint64_t after, OperatorCallback done);

    void onMirrorChange(const state::KvEntry &entry);
    void rebuildChanged();
    void rebuildConfiguration();
    void rebuildMembership();
    void stopSessionsOfWithdrawnKeys(const core::Configuration &config);
    wire::PingMessage pingMessage() const;
    std::string statusText() const;

    wire::IoContext &m_io;
    EntrySettings m_settings;
    EntryView &m_view;
    uint64_t m_incarnation;
    wire::RpcIdentity m_identity;
    wire::HttpClient m_httpClient;
    state::KvClient m_kv;
    state::FleetClient m_fleetClient;
    KvMirror m_mirror;
    PeerSet m_peers;
    FleetView m_fleet;
    policy::Router m_router;
    policy::PrefixIndex m_prefixIndex;
    policy::RetryBudget m_retryBudget;
    state::UsageLedger m_usageLedger;
    state::ClaimStore m_claimStore;
    std::mt19937_64 m_random;
    control::UsageReporter m_usageReporter;
    control::Controller m_controller;
    wire::RpcServer m_rpcServer;
    std::set<std::shared_ptr<RequestSession>> m_sessions;
    std::set<uint64_t> m_liveEntries;
    state::OrderNumber m_planNumber;
    bool m_configurationChanged = false;
    bool m_membershipChanged = false;
    bool m_stopping = false;
};

} // namespace jujube::entry
