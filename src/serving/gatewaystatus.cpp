/** \file
 * Logs the state of a gateway: its predictions and its lag behind the store.
 */

#include "core/eventlog.h"
#include "core/metrics.h"
#include "serving/gateway.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr Milliseconds PredictionLogInterval{5'000};
// Followers lag by one second while a change propagates. A lag of two seconds is logged, and again
// after each further second.
constexpr Milliseconds MinLoggedLag{2'000};
constexpr Milliseconds LagLogInterval{1'000};

} // namespace

void Gateway::logPredictions(TimePoint now)
{
    if (now - m_predictionsLoggedAt < PredictionLogInterval)
        return;
    m_predictionsLoggedAt = now;
    const bool byPace = m_placement.predictsByPace;
    const policy::PrefillTimeModel &apart = m_placement.disaggregatedPrefill;
    core::Event("predictions")
        .with("by_pace", byPace)
        .with("apart_tokens_per_ms", byPace ? m_placement.prefill.tokensPerMs : apart.tokensPerMs)
        .with("apart_fixed_ms", byPace ? m_placement.prefill.fixedMs : apart.fixedMs)
        .with("hand_over_tokens_per_ms", m_placement.handOver.tokensPerMs)
        .with("hand_over_fixed_ms", m_placement.handOver.fixedMs)
        .with("itself_tokens_per_ms", m_placement.colocatedPrefill.tokensPerMs)
        .with("itself_fixed_ms", m_placement.colocatedPrefill.fixedMs)
        .with("read_tokens_per_s", m_prefillRate.tokensPerSecond())
        .with("waiting", m_promptScheduler.waitingCount());
}

// Logs for how long at least one peer has had a newer store state than this gateway.
void Gateway::logLag(const StoreVersion &newest, bool follows, TimePoint now)
{
    if (newest <= m_mirror->version()) {
        m_lagSince = {};
        return;
    }
    if (m_lagSince == TimePoint{})
        m_lagSince = m_lagLoggedAt = now;
    if (now - m_lagSince < MinLoggedLag || now - m_lagLoggedAt < LagLogInterval)
        return;
    m_lagLoggedAt = now;
    core::incrementCounter("jujube_state_behind_total");
    core::Event("state.behind")
        .with("for_ms", std::chrono::duration_cast<Milliseconds>(now - m_lagSince).count())
        .with("revision", m_mirror->version().revision)
        .with("newest", newest.revision)
        .with("follows", follows)
        .with("reachable", m_mirror->reachable());
}

} // namespace jujube::serving
