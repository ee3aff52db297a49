/** \file
 * Program fake-engine: stands in for a model engine with continuous batching.
 *
 * Each step decodes one token for every running request and prefills a chunk for those that wait.
 * Faults beside the common ones: crash (cuts everything and stays down for crash_ms, then starts
 * in the mixed role with an empty cache), silence (open answers get no further byte while new
 * connections work).
 */

#include "core/text.h"
#include "fakes/fakeserver.h"
#include "jujubereplay/enginemodel.h"
#include "policy/prefixindex.h"
#include "support/expectedtext.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <list>

DEFINE_string(listen, "127.0.0.1:7200", "address to serve on");
DEFINE_string(name, "engine", "name in the log");
DEFINE_double(prefill_rate, 20'000, "prompt tokens a second");
DEFINE_double(step_ms, 8, "fixed time of a decode step");
DEFINE_double(step_per_request_ms, 0.2, "added time of a decode step for each running request");
DEFINE_int32(slots, 16, "requests in a batch");
DEFINE_int32(kv_pieces, 256, "KV memory in pieces of 1,024 tokens");
DEFINE_int32(cache_blocks, 2'000, "prefix cache in blocks of 64 tokens");
DEFINE_int32(role_change_ms, 1'500, "time a role change takes");
DEFINE_int32(load_lag_ms, 300, "how far load figures lag behind");
DEFINE_bool(fencing, true, "whether orders with an old number are refused");

namespace {

using namespace jujube;
using test::Answer;

// Prompt tokens prefilled beside one decode step.
constexpr double MixedChunk = 512;
constexpr int KeepAliveMs = 400;
constexpr int DownPollMs = 50;
constexpr int CacheEventGap = 10; // Every tenth cache event is never published.

struct Request
{
    std::string id;
    uint64_t promptHash = 0;
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0;
    double toPrefill = 0;
    uint32_t produced = 0; ///< Including resumed tokens.
    uint32_t resumed = 0;
    uint32_t maxTokens = 0;
    uint32_t priority = 0;
    uint32_t pieces = 0;
    std::vector<uint64_t> blocks;
    Answer to;
    bool running = false;
    bool silenced = false;
    int64_t lastWriteUs = 0;
};

class FakeEngine
{
public:
    FakeEngine()
        : m_server(FLAGS_name,
                   [this](const wire::IncomingRequest &request, const Answer &to) {
                       handle(request, to);
                   }),
          m_cache(FLAGS_cache_blocks)
    {
        m_server.onFaults([this](const QJsonObject &faults) { takeFaults(faults); });
    }

    int run() { return m_server.run(FLAGS_listen); }

private:
    void handle(const wire::IncomingRequest &request, const Answer &to)
    {
        if (!m_started) {
            m_started = true;
            step();
        }
        if (m_down) {
            to->abort();
            return;
        }
        const auto object = wire::parseObject(request.body.empty() ? "{}" : request.body);
        const QJsonObject body = object.ok() ? *object : QJsonObject();
        if (request.path == "/v1/generate") {
            generate(request, body, to);
        } else if (request.path == "/v1/cancel") {
            cancel(wire::stringMember(body, "request_id"));
            m_server.answer(to, 200, {});
        } else if (request.path == "/v1/state") {
            m_server.answer(to, 200, state());
        } else if (request.path == "/v1/orders") {
            takeOrder(body, to);
        } else if (request.path == "/v1/cache-events") {
            cacheEvents(request, to);
        } else {
            m_server.answer(to, 404, {});
        }
    }

    void generate(const wire::IncomingRequest &request, const QJsonObject &body, const Answer &to)
    {
        if (m_changing) {
            m_server.answer(to, 503, {{"error", "changing role"}});
            return;
        }
        const std::string prompt = wire::stringMember(body, "prompt");
        auto it = std::make_shared<Request>();
        it->id = wire::stringMember(body, "request_id");
        it->promptHash = test::promptHash(prompt);
        it->promptTokens = core::estimatedTokenCount(prompt);
        it->blocks = policy::prefixBlocks(prompt);
        it->cachedTokens = std::min(m_cache.cachedTokens("", it->blocks), it->promptTokens);
        it->resumed = static_cast<uint32_t>(wire::uintMember(body, "resume_tokens"));
        it->produced = it->resumed;
        it->maxTokens = static_cast<uint32_t>(wire::uintMember(body, "max_tokens"));
        it->priority = static_cast<uint32_t>(wire::uintMember(body, "priority"));
        it->toPrefill = it->promptTokens - it->cachedTokens + it->resumed;
        it->pieces = (it->promptTokens + it->maxTokens) / core::KvPieceTokens + 1;
        it->to = to;
        m_server.record("engine.start",
                        {{"request_id", wire::qstring(it->id)},
                         {"resumed", static_cast<int>(it->resumed)},
                         {"authorization", wire::qstring(request.header("Authorization"))}});
        to->begin(200, "application/x-ndjson");
        // A resumed request that has everything already ends at once.
        m_requests.push_back(it);
    }

    void cancel(const std::string &id)
    {
        const auto it = std::find_if(m_requests.begin(), m_requests.end(),
                                     [&id](const auto &request) { return request->id == id; });
        if (it == m_requests.end())
            return;
        finish(**it, false);
        m_requests.erase(it);
    }

    QJsonObject state()
    {
        QJsonObject object;
        object["role"] = wire::qstring(core::roleName(m_role));
        object["ready"] = !m_changing;
        object["slots"] = FLAGS_slots;
        object["last_term"] = wire::jsonNumber(m_lastTerm);
        object["last_sequence"] = wire::jsonNumber(m_lastSequence);
        // Load figures are those of a while ago.
        const int64_t shown = test::nowUs() - int64_t(FLAGS_load_lag_ms) * 1'000;
        while (m_loads.size() > 1 && m_loads[1].atUs <= shown)
            m_loads.pop_front();
        object["free_kv_pieces"] = m_loads.empty() ? FLAGS_kv_pieces : m_loads.front().freePieces;
        object["running"] = m_loads.empty() ? 0 : m_loads.front().running;
        return object;
    }

    void takeOrder(const QJsonObject &body, const Answer &to)
    {
        const uint64_t term = wire::uintMember(body, "term");
        const uint64_t sequence = wire::uintMember(body, "sequence");
        const bool old = std::tie(term, sequence) < std::tie(m_lastTerm, m_lastSequence);
        if (old && FLAGS_fencing) {
            m_server.record("engine.order.refused", body);
            m_server.answer(to, 409, {{"error", "an order with a newer number came before"}});
            return;
        }
        QJsonObject details = body;
        details["during_change"] = m_changing;
        details["cut_requests"] = static_cast<int>(m_requests.size());
        m_server.record("engine.order", details);
        m_lastTerm = term;
        m_lastSequence = sequence;
        cutAll();
        m_changing = true;
        const core::Role role = core::roleFromName(wire::stringMember(body, "role"));
        const int epoch = m_epoch;
        QTimer::singleShot(FLAGS_role_change_ms, [this, role, epoch]() {
            if (epoch != m_epoch)
                return;
            m_changing = false;
            m_role = role;
            m_server.record("engine.role", {{"role", wire::qstring(core::roleName(role))}});
        });
        m_server.answer(to, 202, {});
    }

    void cacheEvents(const wire::IncomingRequest &request, const Answer &to)
    {
        const auto after = std::strtoll(request.queryValue("after").c_str(), nullptr, 10);
        QJsonArray events;
        for (const CacheEvent &it : m_cacheEvents) {
            const bool late = test::nowUs() - it.atUs < int64_t(FLAGS_load_lag_ms) * 1'000;
            if (it.number > after && !late && it.number % CacheEventGap != 0)
                events.append(QJsonObject{{"number", static_cast<qint64>(it.number)},
                                          {"block", QString::number(it.block)}});
        }
        m_server.answer(to, 200, {{"events", events}});
    }

    // One step of the batch; its length decides when the next one runs.
    void step()
    {
        if (m_down) {
            QTimer::singleShot(DownPollMs, Qt::PreciseTimer, [this]() { step(); });
            return;
        }
        admit();
        const replay::RoleFactors speed = replay::roleFactors(m_role);
        double chunk = MixedChunk * speed.prefillRateFactor;
        double prefilled = 0;
        int decoding = 0;
        std::vector<std::shared_ptr<Request>> finished;
        for (const auto &it : m_requests) {
            if (!it->running)
                continue;
            if (it->toPrefill > 0) {
                const double part = std::min(chunk, it->toPrefill);
                it->toPrefill -= part;
                chunk -= part;
                prefilled += part;
                if (it->toPrefill <= 0)
                    remember(*it);
                continue;
            }
            ++decoding;
            if (it->produced < it->maxTokens)
                produce(*it);
            if (it->produced >= it->maxTokens)
                finished.push_back(it);
        }
        for (const auto &it : finished) {
            finish(*it, true);
            m_requests.remove(it);
        }
        keepAlive();
        for (const auto &it : m_requests) {
            if (!it->to->connected())
                recordEnd(*it, false);
        }
        m_requests.remove_if([](const auto &it) { return !it->to->connected(); });
        noteLoad();
        const double decodeMs = decoding == 0
            ? 0
            : (FLAGS_step_ms + FLAGS_step_per_request_ms * decoding) * speed.stepTimeFactor;
        const double prefillMs = prefilled * 1'000 / (FLAGS_prefill_rate * speed.prefillRateFactor);
        const double total = std::max(2.0, decodeMs + prefillMs);
        QTimer::singleShot(static_cast<int>(total), Qt::PreciseTimer, [this]() { step(); });
    }

    void admit()
    {
        m_requests.sort([](const auto &a, const auto &b) {
            return std::make_tuple(!a->running, -static_cast<int>(a->priority))
                < std::make_tuple(!b->running, -static_cast<int>(b->priority));
        });
        int running = 0;
        uint32_t pieces = 0;
        for (const auto &it : m_requests) {
            if (it->running) {
                ++running;
                pieces += it->pieces;
            }
        }
        for (const auto &it : m_requests) {
            if (it->running)
                continue;
            if (running >= FLAGS_slots
                || (running > 0 && pieces + it->pieces > static_cast<uint32_t>(FLAGS_kv_pieces)))
                break;
            it->running = true;
            ++running;
            pieces += it->pieces;
        }
        m_freePieces = FLAGS_kv_pieces - static_cast<int>(pieces);
        m_running = running;
    }

    void produce(Request &request)
    {
        const std::string text = test::expectedToken(request.promptHash, request.produced);
        ++request.produced;
        write(request, {{"text", wire::qstring(text)}, {"tokens", 1}});
    }

    void finish(Request &request, bool whole)
    {
        QJsonObject last;
        last["done"] = whole;
        last["prompt_tokens"] = static_cast<int>(request.promptTokens);
        last["cached_tokens"] = static_cast<int>(request.cachedTokens);
        last["output_tokens"] = static_cast<int>(request.produced - request.resumed);
        write(request, last);
        recordEnd(request, whole);
        if (!request.silenced)
            request.to->end();
    }

    void recordEnd(const Request &request, bool whole)
    {
        m_server.record("engine.end",
                        {{"request_id", wire::qstring(request.id)},
                         {"whole", whole},
                         {"prompt_tokens", static_cast<int>(request.promptTokens)},
                         {"produced", static_cast<int>(request.produced - request.resumed)}});
    }

    void cutAll()
    {
        for (const auto &it : m_requests) {
            recordEnd(*it, false);
            it->to->abort();
        }
        m_requests.clear();
    }

    void write(Request &request, const QJsonObject &line)
    {
        if (request.silenced)
            return;
        request.to->write(wire::toJsonText(line) + "\n");
        request.lastWriteUs = test::nowUs();
    }

    void keepAlive()
    {
        const int64_t now = test::nowUs();
        for (const auto &it : m_requests) {
            if (!it->silenced && now - it->lastWriteUs > int64_t(KeepAliveMs) * 1'000) {
                it->to->write("\n");
                it->lastWriteUs = now;
            }
        }
    }

    void remember(Request &request)
    {
        m_cache.record("", request.blocks);
        for (const uint64_t block : request.blocks)
            m_cacheEvents.push_back({++m_cacheEventCount, block, test::nowUs()});
        while (m_cacheEvents.size() > 10'000)
            m_cacheEvents.pop_front();
    }

    void noteLoad()
    {
        m_loads.push_back({test::nowUs(), m_freePieces, m_running});
        if (m_loads.size() > 4'000)
            m_loads.pop_front();
    }

    void takeFaults(const QJsonObject &faults)
    {
        if (faults.value("crash").toBool()) {
            cutAll();
            m_down = true;
            ++m_epoch;
            const int downMs = static_cast<int>(m_server.fault("crash_ms", 2'000));
            QTimer::singleShot(downMs, [this]() {
                m_down = false;
                m_changing = false;
                m_role = core::Role::Mixed;
                m_lastTerm = 0;
                m_lastSequence = 0;
                m_cache = policy::PrefixIndex(FLAGS_cache_blocks);
                m_server.record("engine.restarted", {});
            });
        }
        if (faults.value("silence").toBool()) {
            // Only what is open now goes silent; new connections work.
            m_server.setFault("silence", 0);
            for (const auto &it : m_requests)
                it->silenced = true;
        }
    }

    struct Load
    {
        int64_t atUs = 0;
        int freePieces = 0;
        int running = 0;
    };
    struct CacheEvent
    {
        int64_t number = 0;
        uint64_t block = 0;
        int64_t atUs = 0;
    };

    test::FakeServer m_server;
    policy::PrefixIndex m_cache;
    std::list<std::shared_ptr<Request>> m_requests;
    std::deque<Load> m_loads;
    std::deque<CacheEvent> m_cacheEvents;
    int64_t m_cacheEventCount = 0;
    core::Role m_role = core::Role::Mixed;
    uint64_t m_lastTerm = 0;
    uint64_t m_lastSequence = 0;
    int m_freePieces = 0;
    int m_running = 0;
    int m_epoch = 0;
    bool m_started = false;
    bool m_changing = false;
    bool m_down = false;
};

} // namespace

int main(int argc, char *argv[])
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication app(argc, argv);
    FakeEngine engine;
    return engine.run();
}
