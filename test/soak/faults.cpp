#include "soak/faults.h"

#include "core/text.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <random>

namespace jujube::soak {

namespace {

using core::Milliseconds;
using core::TimePoint;
using test::EndpointFault;
using test::StoreFault;

constexpr Milliseconds TickInterval{20};
// From SIGTERM to SIGKILL, as the platform does it by default.
constexpr Milliseconds GraceTime{8'000};
// A balancer takes a gateway out after two questions a second apart, and in again after one.
constexpr Milliseconds UnlistDelay{2'000};
constexpr Milliseconds RelistDelay{1'500};
constexpr Milliseconds LeavingTime{1'500}; ///< Of a draining worker until its entry is gone.

} // namespace

const char *kindName(FaultKind kind)
{
    static constexpr const char *names[FaultKinds] = {
        "kill",          "kill all",        "pause",         "stop",
        "reload",        "store silent",    "store busy",    "store resets",
        "store loses",   "store link",      "store forgets", "worker link",
        "worker resets", "worker silences", "worker fails",  "workers refuse",
        "worker leaves", "config",          "store restored"};
    return names[static_cast<int>(kind)];
}

std::vector<Fault> drawFaults(uint64_t seed, Milliseconds length)
{
    std::mt19937_64 random(seed);
    // Workers misbehave in nine ways, so that is drawn more often.
    constexpr int extraFails = 3;
    constexpr int usualKinds = static_cast<int>(FaultKind::StoreRestored);
    std::uniform_int_distribution<int> kind(0, usualKinds - 1 + extraFails);
    std::uniform_int_distribution<int64_t> lasts(300, 4'000);
    std::uniform_int_distribution<int64_t> shortGap(50, 1'500);
    std::uniform_int_distribution<int64_t> calm(4'500, 8'000);
    std::bernoulli_distribution calmNow(0.15);
    std::uniform_int_distribution<uint32_t> any;
    std::vector<Fault> faults;
    Milliseconds at(500);
    while (at < length) {
        Fault fault;
        const int drawn = kind(random);
        fault.kind = drawn < usualKinds ? static_cast<FaultKind>(drawn) : FaultKind::WorkerFails;
        fault.at = at;
        fault.lasts = Milliseconds(lasts(random));
        fault.target = any(random);
        fault.variant = any(random);
        faults.push_back(fault);
        at += Milliseconds(calmNow(random) ? calm(random) : shortGap(random));
    }
    return faults;
}

std::vector<Fault> withDrills(std::vector<Fault> faults, uint64_t seed, Milliseconds length)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int64_t> gap(3'000, 9'000);
    std::uniform_int_distribution<int64_t> away(0, 5'000);
    std::uniform_int_distribution<uint32_t> any;
    // Most are away for a moment, so that holders are at work when it comes back.
    std::uniform_int_distribution<int64_t> shortened(1, 8);
    for (Milliseconds at(gap(random)); at < length; at += Milliseconds(gap(random))) {
        const Milliseconds lasts(away(random) / shortened(random));
        faults.push_back({FaultKind::StoreRestored, at, lasts, any(random), any(random)});
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return faults;
}

FaultPlayer::FaultPlayer(boost::asio::io_context &io, Site &site, std::vector<Fault> faults)
    : m_io(io), m_site(site), m_faults(std::move(faults)), m_timer(io)
{
}

void FaultPlayer::start()
{
    m_gateways.resize(m_site.gateways().size());
    m_drills = std::any_of(m_faults.begin(), m_faults.end(),
                           [](const Fault &it) { return it.kind == FaultKind::StoreRestored; });
    m_begun = core::BootClock::now();
    tick();
}

bool FaultPlayer::done() const
{
    bool resting = m_next == m_faults.size() && m_pending == 0;
    for (size_t i = 0; i < m_gateways.size(); ++i)
        resting = resting && m_site.listed(i) && !m_gateways[i].stopping;
    return resting;
}

void FaultPlayer::tick()
{
    const TimePoint now = core::BootClock::now();
    while (m_next < m_faults.size() && now >= m_begun + m_faults[m_next].at) {
        const Fault &fault = m_faults[m_next++];
        std::printf("%6.2f s  %s, %lld ms\n", std::chrono::duration<double>(now - m_begun).count(),
                    kindName(fault.kind), static_cast<long long>(fault.lasts.count()));
        play(fault);
    }
    m_site.refreshEntries();
    // What others write all the time: a copy is as many revisions behind.
    if (m_drills)
        m_site.store().put("op/other", {});
    for (size_t i = 0; i < m_gateways.size(); ++i)
        lookAfter(i, now);
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

void FaultPlayer::lookAfter(size_t gateway, TimePoint now)
{
    GatewayState &state = m_gateways[gateway];
    GatewayProcess &process = *m_site.gateways()[gateway];
    if (const auto status = process.pollExit()) {
        if (!state.expectedToEnd)
            m_breaches.push_back(
                core::concat(process.place().name, " ended by itself, status ", *status));
        state.expectedToEnd = state.stopping = false;
        m_site.setListed(gateway, false);
        if (state.restartAt <= now)
            state.restartAt = now + TickInterval;
    }
    if (state.stopping && now > state.killAt) {
        m_breaches.push_back(process.place().name + " did not end when it was asked to");
        state.stopping = false;
        process.signal(SIGKILL);
    }
    if (state.unlistAt != TimePoint{} && now > state.unlistAt) {
        state.unlistAt = {};
        m_site.setListed(gateway, false);
    }
    if (!process.running() && now > state.restartAt) {
        if (const absl::Status status = process.start(); !status.ok())
            m_breaches.push_back(std::string(status.message()));
        state.relistAt = now + RelistDelay;
    }
    if (process.running() && !state.stopping && !m_site.listed(gateway) && now > state.relistAt) {
        m_site.setListed(gateway, true);
        for (const size_t it : std::exchange(state.disturbances, {}))
            m_site.disturbances().end(it, now);
    }
}

void FaultPlayer::later(Milliseconds delay, std::function<void()> then)
{
    ++m_pending;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([this, timer, then = std::move(then)](const boost::system::error_code &ec) {
        if (ec)
            return;
        --m_pending;
        then();
    });
}

void FaultPlayer::killGateway(size_t gateway)
{
    GatewayProcess &process = *m_site.gateways()[gateway];
    if (!process.running())
        return;
    GatewayState &state = m_gateways[gateway];
    state.disturbances.push_back(m_site.disturbances().begin(gateway, core::BootClock::now()));
    state.expectedToEnd = true;
    state.stopping = false;
    m_site.setListed(gateway, false);
    process.signal(SIGKILL);
}

void FaultPlayer::play(const Fault &fault)
{
    const TimePoint now = core::BootClock::now();
    Disturbances &disturbances = m_site.disturbances();
    const size_t gateway = fault.target % m_gateways.size();
    GatewayState &state = m_gateways[gateway];
    GatewayProcess &process = *m_site.gateways()[gateway];
    // Ends a disturbance of all gateways after the fault's time.
    const auto forItsTime = [&](const std::function<void()> &heal) {
        const size_t number = disturbances.begin(AllGateways, now);
        later(fault.lasts, [this, heal, number]() {
            heal();
            m_site.disturbances().end(number, core::BootClock::now());
        });
    };
    const auto storeFault = [&](StoreFault kind) {
        m_site.store().setFault(kind);
        forItsTime([this]() { m_site.store().setFault(StoreFault::None); });
    };
    switch (fault.kind) {
    case FaultKind::Kill:
        state.restartAt = now + fault.lasts;
        killGateway(gateway);
        break;
    case FaultKind::KillAll:
        for (size_t i = 0; i < m_gateways.size(); ++i) {
            m_gateways[i].restartAt = now + fault.lasts;
            killGateway(i);
        }
        break;
    case FaultKind::Pause: {
        if (!process.running() || state.stopping)
            break;
        const size_t number = disturbances.begin(gateway, now);
        process.signal(SIGSTOP);
        later(fault.lasts, [this, gateway, number]() {
            m_site.gateways()[gateway]->signal(SIGCONT);
            m_site.disturbances().end(number, core::BootClock::now());
        });
        break;
    }
    case FaultKind::Stop:
        // No disturbance: a planned stop is to be noticed by nobody.
        if (!process.running() || state.stopping || !m_site.listed(gateway))
            break;
        state.expectedToEnd = state.stopping = true;
        state.killAt = now + GraceTime;
        state.unlistAt = now + UnlistDelay;
        process.signal(SIGTERM);
        break;
    case FaultKind::Reload:
        process.signal(SIGHUP);
        break;
    case FaultKind::StoreSilent:
        storeFault(StoreFault::Silent);
        break;
    case FaultKind::StoreBusy:
        storeFault(StoreFault::Busy);
        break;
    case FaultKind::StoreResets:
        storeFault(StoreFault::Reset);
        break;
    case FaultKind::StoreLosesAnswers:
        storeFault(StoreFault::LoseResponses);
        break;
    case FaultKind::StoreLink:
        playStoreLink(fault);
        forItsTime([this]() { m_site.storeRelay().setFault(LinkFault::None); });
        break;
    case FaultKind::StoreForgets:
        m_site.store().compact();
        m_site.store().expireLeases();
        forItsTime([]() {});
        break;
    case FaultKind::Config:
        m_site.publishConfig();
        break;
    case FaultKind::StoreRestored:
        playRestore(fault);
        break;
    default:
        playWorker(fault);
        break;
    }
}

void FaultPlayer::playStoreLink(const Fault &fault)
{
    constexpr LinkFault ways[] = {LinkFault::Delay, LinkFault::CutRequests, LinkFault::CutAnswers,
                                  LinkFault::Silent, LinkFault::Reset};
    m_site.storeRelay().setFault(ways[fault.variant % std::size(ways)]);
}

// The operator and the workers write again what they wrote, one after the other.
void FaultPlayer::playRestore(const Fault &fault)
{
    constexpr uint32_t mostAgeMs = 10'000;
    constexpr int64_t writeGapMs = 100;
    const size_t number = m_site.disturbances().begin(AllGateways, core::BootClock::now());
    m_site.store().setFault(fault.variant % 2 == 0 ? StoreFault::Reset : StoreFault::Silent);
    later(fault.lasts, [this, fault, number]() {
        m_site.store().restore(Milliseconds(fault.variant % mostAgeMs));
        m_site.store().setFault(StoreFault::None);
        const size_t writers = m_site.workers().size() + 1;
        for (size_t i = 0; i < writers; ++i) {
            const size_t writer = (fault.target + i) % writers;
            later(Milliseconds(static_cast<int64_t>(i) * writeGapMs),
                  [this, writer]() { m_site.writeAgain(writer); });
        }
        later(Milliseconds(static_cast<int64_t>(writers) * writeGapMs),
              [this, number]() { m_site.disturbances().end(number, core::BootClock::now()); });
    });
}

void FaultPlayer::playWorker(const Fault &fault)
{
    constexpr LinkFault ways[] = {LinkFault::Delay, LinkFault::CutRequests, LinkFault::CutAnswers,
                                  LinkFault::Silent, LinkFault::Reset};
    constexpr EndpointFault faults[] = {EndpointFault::LoseResponse,
                                        EndpointFault::BreakStream,
                                        EndpointFault::Refuse,
                                        EndpointFault::Silent,
                                        EndpointFault::ForeignResponse,
                                        EndpointFault::ExtraResponse,
                                        EndpointFault::UnavailableAfterRun,
                                        EndpointFault::ServerError,
                                        EndpointFault::NoSeal};
    constexpr int mostSpoiled = 8;
    const size_t index = fault.target % m_site.workers().size();
    SoakedWorker &worker = m_site.workers()[index];
    Disturbances &disturbances = m_site.disturbances();
    const size_t number = disturbances.begin(AllGateways, core::BootClock::now());
    std::function<void()> heal = []() {};
    switch (fault.kind) {
    case FaultKind::WorkerLink:
        worker.relay->setFault(ways[fault.variant % std::size(ways)]);
        heal = [&worker]() { worker.relay->setFault(LinkFault::None); };
        break;
    case FaultKind::WorkerResets:
        worker.relay->resetOpen();
        break;
    case FaultKind::WorkerSilences:
        worker.relay->silenceOpen();
        break;
    case FaultKind::WorkerFails:
        worker.worker->setFault(faults[fault.variant % std::size(faults)],
                                1 + static_cast<int>(fault.variant / 16 % mostSpoiled));
        heal = [&worker]() { worker.worker->setFault(EndpointFault::None); };
        break;
    case FaultKind::WorkersRefuse:
        for (SoakedWorker &it : m_site.workers()) {
            if (it.service == worker.service)
                it.worker->setFault(EndpointFault::Refuse);
        }
        heal = [this]() {
            for (SoakedWorker &it : m_site.workers())
                it.worker->setFault(EndpointFault::None);
        };
        break;
    case FaultKind::WorkerLeaves:
        m_site.listWorker(worker, "draining");
        later(LeavingTime, [this, &worker]() { m_site.unlistWorker(worker); });
        heal = [this, &worker]() { m_site.listWorker(worker); };
        break;
    default:
        break;
    }
    later(fault.lasts + LeavingTime, [this, heal, number]() {
        heal();
        m_site.disturbances().end(number, core::BootClock::now());
    });
}

} // namespace jujube::soak
