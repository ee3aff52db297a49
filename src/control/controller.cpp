#include "control/controller.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "state/registry.h"

namespace jujube::control {

namespace {

constexpr core::Milliseconds TickInterval{250};
constexpr core::Milliseconds ElectionInterval{300};
constexpr core::Milliseconds VmListInterval{1'000};
// The guarded sends of a lease holder end before its lease lapses; this covers messages that are
// still in the network.
constexpr core::Milliseconds InFlightSendWait{500};

std::string leaseKey(const std::string &scope)
{
    return core::concat(state::FleetPrefix, "controller/", scope);
}

} // namespace

Controller::Controller(wire::IoContext &io, state::KvClient &kv, state::FleetClient &platform,
                       entry::KvMirror &mirror, entry::FleetView &fleet, UsageReporter &reporter,
                       ControllerSettings settings)
    : m_io(io),
      m_kv(kv),
      m_platform(platform),
      m_mirror(mirror),
      m_fleet(fleet),
      m_reporter(reporter),
      m_settings(std::move(settings)),
      m_lease(io, kv, leaseKey(m_settings.scope),
              core::concat(m_settings.name, "/", m_settings.incarnation), m_settings.lease),
      m_rolePlanner(policy::RolePlannerSettings{})
{
}

void Controller::start()
{
    wire::coroutineTasks().add(run());
    wire::coroutineTasks().add(renewLoop());
}

wire::Task<void> Controller::stop()
{
    m_stopping = true;
    while (!m_ended)
        co_await m_io.sleep(ElectionInterval / 10);
    co_await m_lease.release();
}

wire::Task<void> Controller::run()
{
    while (!m_stopping) {
        if (!m_isLeader) {
            m_isLeader = co_await tryBecomeLeader();
            if (!m_isLeader)
                co_await m_io.sleep(ElectionInterval);
            continue;
        }
        if (!m_lease.held()) {
            core::Event("controller.lost").with("term", m_plan.term);
            m_isLeader = false;
            continue;
        }
        co_await tick();
        co_await m_io.sleep(TickInterval);
    }
    m_ended = true;
}

wire::Task<void> Controller::renewLoop()
{
    while (!m_stopping) {
        co_await m_io.sleep(m_settings.lease / 5);
        if (m_isLeader)
            co_await m_lease.renew();
    }
}

wire::Task<bool> Controller::tryBecomeLeader()
{
    // Every entry mirrors the key of the lease, so candidates need no call to see whether it is
    // held.
    if (m_mirror.find(leaseKey(m_settings.scope)) || !co_await m_lease.tryAcquire())
        co_return false;
    co_await m_io.sleep(InFlightSendWait);
    const auto current = co_await m_kv.get(state::planKey(m_settings.scope));
    if (!current.ok() || !m_lease.held())
        co_return false;
    auto plan = state::Plan::parse(current->value);
    if (!plan.ok()) {
        core::Event("plan.unreadable").with("why", plan.status().message());
        co_return false;
    }
    m_planRevision = current->revision;
    plan->term += 1;
    plan->sequence = 0;
    plan->holder = m_settings.name;
    if (!co_await writePlan(std::move(*plan)))
        co_return false;
    core::Event("controller.elected")
        .with("scope", m_settings.scope)
        .with("name", m_settings.name)
        .with("term", m_plan.term);
    co_return true;
}

wire::Task<void> Controller::tick()
{
    co_await refreshLeavingVms();
    state::Plan next = m_plan;
    mergeEndpoints(next);
    if (m_settings.planRoles)
        planRoles(next);
    addRemovalOrders(next);
    const bool changed = next.serialize() != m_plan.serialize();
    if (changed && !co_await writePlan(std::move(next)))
        co_return;
    co_await sendOrders();
    if (isLeader())
        co_await m_reporter.tick(m_plan.term, m_lease);
}

wire::Task<void> Controller::refreshLeavingVms()
{
    if (core::BootClock::now() - m_vmsReadAt < VmListInterval)
        co_return;
    m_vmsReadAt = core::BootClock::now();
    const auto vms = co_await m_platform.listVms();
    if (!vms.ok())
        co_return;
    m_leavingVms.clear();
    for (const state::VmListing &it : *vms) {
        if (it.leaving)
            m_leavingVms.insert(it.vm);
    }
}

// Every registered endpoint gets a desired state: the intent of the operators, but drained instead
// of active if the platform lists its VM as leaving, and the role that they fixed, else its present
// one.
void Controller::mergeEndpoints(state::Plan &plan)
{
    std::map<std::string, core::ShardValue> engines;
    const std::string enginesKey = core::shardKvKey(core::shards::Engines);
    if (const state::KvEntry *entry = m_mirror.find(enginesKey))
        engines[std::string(core::shards::Engines)] = {entry->revision, entry->value};
    const auto config = core::Configuration::create(engines);

    std::set<std::string> registered;
    for (const state::KvEntry &it : m_mirror.list(state::AgentPrefix)) {
        const auto record = state::AgentRecord::parse(it.value);
        if (!record.ok())
            continue;
        registered.insert(record->vm);
        core::EngineOverride vmOverride =
            config.ok() ? (*config)->engineOverride(record->vm) : core::EngineOverride{};
        if (vmOverride.intent == core::EngineIntent::Active && m_leavingVms.contains(record->vm))
            vmOverride.intent = core::EngineIntent::Drained;
        const auto known = plan.endpoints.find(record->vm);
        const core::Role role =
            known == plan.endpoints.end() ? core::Role::Mixed : known->second.role;
        if (vmOverride.role)
            m_pinnedVms.insert(record->vm);
        else
            m_pinnedVms.erase(record->vm);
        plan.setEndpoint(record->vm, vmOverride.role.value_or(role), vmOverride.intent);
    }
    std::erase_if(plan.endpoints, [&](const auto &it) { return !registered.contains(it.first); });
}

// Returns, for each model, the largest number of failure domains that one of its profiles requires.
std::map<std::string, uint32_t> Controller::requiredDomainsByModel() const
{
    std::map<std::string, uint32_t> result;
    const std::string name(core::shards::Profiles);
    const state::KvEntry *entry = m_mirror.find(core::shardKvKey(name));
    if (!entry)
        return result;
    const auto config = core::Configuration::create({{name, {entry->revision, entry->value}}});
    if (!config.ok())
        return result;
    for (const auto &[key, profile] : (*config)->profiles())
        result[profile.model] = std::max(result[profile.model], profile.minDomains);
    return result;
}

void Controller::planRoles(state::Plan &plan)
{
    std::map<std::string, uint32_t> minDomains = requiredDomainsByModel();
    std::vector<policy::RoleView> engines;
    for (const auto &link : m_fleet.links()) {
        const state::AgentRecord &record = link->record();
        const auto planned = plan.endpoints.find(record.vm);
        if (record.kind != core::WorkKind::Language || planned == plan.endpoints.end())
            continue;
        if (planned->second.intent != core::EngineIntent::Active || m_pinnedVms.contains(record.vm))
            continue;
        const core::LoadReport &load = link->load();
        policy::RoleView view;
        view.vm = record.vm;
        view.domain = record.domain;
        view.model = record.model;
        view.minDomains = minDomains[record.model];
        view.role = planned->second.role;
        view.available = link->isConnected() && load.ready && load.role == planned->second.role;
        view.queuedTokens = load.queuedPrefillTokens;
        view.outstandingOutput = load.outstandingOutputTokens;
        view.running = load.running;
        view.queuedRequests = load.queuedRequests;
        view.slots = load.slots;
        view.prefillRate = load.prefillTokensPerSecond;
        view.decodeRate = load.decodeTokensPerSecond;
        engines.push_back(std::move(view));
    }
    const auto change = m_rolePlanner.plan(engines, core::BootClock::now());
    if (!change)
        return;
    plan.setEndpoint(change->vm, change->role, core::EngineIntent::Active);
    core::Event("role.planned")
        .with("vm", change->vm)
        .with("role", core::roleName(change->role))
        .with("gain_s", change->gainSeconds)
        .with("term", plan.term)
        .with("sequence", plan.sequence);
}

// Adds an order to remove each withdrawn endpoint from the platform once it has drained. The order
// is stored in the plan as intended, and sent only after that write succeeded.
void Controller::addRemovalOrders(state::Plan &plan) const
{
    for (const auto &[vm, endpoint] : plan.endpoints) {
        if (endpoint.intent != core::EngineIntent::Withdrawn)
            continue;
        const auto links = m_fleet.links();
        const auto link = std::find_if(links.begin(), links.end(), [&vm = vm](const auto &it) {
            return it->record().vm == vm;
        });
        if (link == links.end())
            continue;
        const core::LoadReport &load = (*link)->load();
        const state::OrderNumber applied{load.appliedTerm, load.appliedSequence};
        if (applied < endpoint.number)
            continue;
        const std::string id = core::concat("remove-", vm, "-", (*link)->record().incarnation);
        const bool known = std::any_of(plan.fleetOrders.begin(), plan.fleetOrders.end(),
                                       [&id](const auto &it) { return it.id == id; });
        if (known)
            continue;
        plan.fleetOrders.push_back({id, state::FleetAction::Remove, (*link)->record().domain, vm,
                                    state::FleetOrderState::Intended, core::wallTime().count()});
    }
}

wire::Task<bool> Controller::writePlan(state::Plan plan)
{
    ++plan.writeNumber;
    const std::string key = state::planKey(m_settings.scope);
    const std::string text = plan.serialize();
    auto revision = co_await m_kv.compareAndSwap(key, m_planRevision, text);
    if (!revision.ok() && state::isOutcomeUnknown(revision.status())) {
        const auto current = co_await m_kv.get(key);
        if (current.ok() && current->value == text)
            revision = current->revision;
    }
    if (!revision.ok()) {
        // Another controller wrote the plan, or the result is unknown: compete again for a new
        // term.
        core::Event("controller.deposed")
            .with("term", plan.term)
            .with("why", revision.status().message());
        m_isLeader = false;
        co_await m_lease.release();
        co_return false;
    }
    m_plan = std::move(plan);
    m_planRevision = *revision;
    m_mirror.apply({{key, text, *revision, false}});
    co_return true;
}

wire::Task<void> Controller::sendOrders()
{
    for (size_t i = 0; i < m_plan.fleetOrders.size(); ++i) {
        const state::FleetOrder order = m_plan.fleetOrders[i];
        if (order.state == state::FleetOrderState::Done)
            continue;
        // It may have been received already, from an earlier controller or in a send whose answer
        // was lost.
        const auto received = co_await m_platform.isOrderReceived(order.id);
        if (!received.ok() || !isLeader())
            co_return;
        if (!*received) {
            const absl::Status sent =
                co_await m_platform.sendOrder(order, m_plan.term, {m_lease.validUntil()});
            core::Event("fleet.order.sent")
                .with("order", order.id)
                .with("result", sent.ok() ? "ok" : sent.message());
            // The result may be unknown, so the next tick checks whether it was received before it
            // is sent again.
            if (!sent.ok())
                continue;
        }
        state::Plan next = m_plan;
        next.fleetOrders[i].state = state::FleetOrderState::Done;
        if (!co_await writePlan(std::move(next)))
            co_return;
    }
}

} // namespace jujube::control
