/** \file
 * Tests how a session recovers when endpoints fail, against scripted agents.
 */

#include "entry/requestsession.h"
#include "core/text.h"
#include "support/loop.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

namespace schema = wire::schema;

// How a scripted agent handles requests.
enum class Script {
    AnswerCompletely, ///< Generates all tokens.
    FailMidway,       ///< Generates one token, then fails.
    RefuseAlways,     ///< Refuses every submission.
    NeverReply,       ///< Never replies to a submission, and resolves it to a tombstone.
};

class ScriptedAgent : public schema::AgentSession::Server
{
public:
    ScriptedAgent(Script script, std::vector<uint32_t> &resumedFrom)
        : m_script(script), m_resumedFrom(resumedFrom)
    {
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        if (m_script == Script::NeverReply)
            return kj::NEVER_DONE;
        m_work = wire::read(context.getParams().getRequest());
        m_resumedFrom.push_back(m_work.resumeTokens);
        wire::SubmitReply reply;
        reply.accepted = m_script != Script::RefuseAlways;
        reply.message = "scripted";
        reply.load = load();
        wire::write(context.getResults().initResult(), reply);
        return kj::READY_NOW;
    }

    kj::Promise<void> fetch(FetchContext context) override
    {
        wire::ChunkMessage chunk;
        const uint64_t given =
            m_script == Script::FailMidway ? 1 : m_work.maxTokens - m_work.resumeTokens;
        if (context.getParams().getOffset() == 0)
            chunk.data = std::string(given * 4, 'x');
        chunk.nextOffset = given * 4;
        chunk.tokens = m_work.resumeTokens + static_cast<uint32_t>(given);
        chunk.progress = wire::Progress::FINISHED;
        chunk.outcome =
            m_script == Script::FailMidway ? core::Outcome::Failed : core::Outcome::Whole;
        chunk.load = load();
        wire::write(context.getResults().initChunk(), chunk);
        return kj::READY_NOW;
    }

    kj::Promise<void> resolve(ResolveContext context) override
    {
        context.getResults().setProgress(wire::Progress::TOMBSTONE);
        return kj::READY_NOW;
    }

    kj::Promise<void> ping(PingContext context) override
    {
        wire::write(context.getResults().initLoad(), load());
        return kj::READY_NOW;
    }

private:
    static core::LoadReport load()
    {
        core::LoadReport it;
        it.incarnation = 5;
        it.ready = true;
        it.slots = 4;
        return it;
    }

    Script m_script;
    std::vector<uint32_t> &m_resumedFrom;
    wire::WorkMessage m_work;
};

// Session services of an entry that is connected to scripted agents.
struct Fixture
{
    explicit Fixture(int firstPort)
        : port(firstPort),
          http(loop.io()),
          kv(http, "127.0.0.1:9", 100ms),
          fleet(
              loop.io(), {"entry", "s"}, 16, [] { return wire::PingMessage(); },
              [](const core::FreshnessToken &) {}),
          router({}),
          prefixes(100),
          retries({}),
          ledger(kv, "main", state::UsageSide::Entry, 1),
          claims(loop.io(), kv, "main", 1, 60min),
          random(1)
    {
    }

    // Registers an agent. Without a script nothing listens at its address.
    void addAgent(std::optional<Script> script)
    {
        state::AgentRecord record;
        record.vm = core::concat("vm-", agents.size());
        record.address = core::concat("127.0.0.1:", port++);
        record.domain = "d";
        record.model = "m";
        agents.push_back(record);
        if (script)
            listenAt(record.address, *script);
        fleet.setAgents(agents);
    }

    void listenAt(const std::string &address, Script script)
    {
        servers.push_back(std::make_unique<wire::RpcServer>(
            loop.io(), wire::RpcIdentity{"agent", "s"},
            [this, script](const std::function<void()> &) {
                wire::RpcServer::Sessions sessions;
                sessions.agent = kj::heap<ScriptedAgent>(script, resumedFrom);
                return sessions;
            },
            1min));
        cr_assert(loop.wait(servers.back()->listen(address)).ok());
    }

    // Runs a request and returns the final event.
    entry::AnswerEvent run(bool idempotent = true, core::Milliseconds deadline = 10s)
    {
        entry::CallerRequest request;
        request.work.requestId = core::concat("r", ++requests);
        request.work.team = "t";
        request.work.prompt = "p";
        request.work.maxTokens = 10;
        request.work.idempotent = idempotent;
        request.model = "m";
        request.deadline = core::BootClock::now() + deadline;
        const entry::SessionServices services{loop.io(), fleet,  router, prefixes, retries,
                                              ledger,    claims, random, 1};
        std::optional<entry::AnswerEvent> last;
        auto session = std::make_shared<entry::RequestSession>(
            services, request, [&](entry::AnswerEvent event) {
                if (const auto *piece = std::get_if<entry::AnswerPiece>(&event))
                    text += piece->text;
                last = std::move(event);
            });
        loop.wait(session->run());
        return *last;
    }

    int port;
    test::Loop loop;
    wire::HttpClient http;
    state::KvClient kv;
    entry::FleetView fleet;
    policy::Router router;
    policy::PrefixIndex prefixes;
    policy::RetryBudget retries;
    state::UsageLedger ledger;
    state::ClaimStore claims;
    std::mt19937_64 random;
    std::vector<state::AgentRecord> agents;
    std::vector<std::unique_ptr<wire::RpcServer>> servers;
    std::vector<uint32_t> resumedFrom;
    std::string text;
    int requests = 0;
};

} // namespace

// Guards against a retry that repeats or skips tokens after an endpoint failed midway.
Test(requestsession, a_failed_answer_resumes_on_another_endpoint_after_the_tokens_already_sent)
{
    // Never destroyed: detached coroutines refer to it until the test process ends.
    Fixture &fixture = *new Fixture(28'800);
    fixture.addAgent(Script::FailMidway);
    fixture.loop.runFor(300ms);
    fixture.addAgent(Script::AnswerCompletely);
    fixture.loop.runFor(300ms);
    // The router may choose either agent first, so this repeats until the failing one was chosen.
    for (int i = 0; i < 20 && fixture.resumedFrom.size() < 2; ++i) {
        fixture.resumedFrom.clear();
        fixture.text.clear();
        cr_assert(std::holds_alternative<entry::CompletedAnswer>(fixture.run()));
    }
    cr_assert_eq(fixture.resumedFrom.size(), 2U);
    cr_assert_eq(fixture.resumedFrom[1], 1U);
    cr_assert_eq(fixture.text.size(), 40U);
}

// Guards against "not run" for a request whose first attempt ran and whose retry was refused.
Test(requestsession, a_request_that_has_run_is_never_reported_as_not_run)
{
    // Never destroyed: detached coroutines refer to it until the test process ends.
    Fixture &fixture = *new Fixture(28'810);
    fixture.addAgent(Script::FailMidway);
    fixture.addAgent(Script::RefuseAlways);
    fixture.loop.runFor(500ms);
    for (int i = 0; i < 10; ++i) {
        fixture.text.clear();
        const auto failure = std::get<entry::AnswerFailure>(fixture.run());
        cr_assert_neq(failure.outcome == core::Outcome::NotRun, !fixture.text.empty());
    }
}

// Guards against a failure while the only endpoint left is about to reconnect.
Test(requestsession, a_request_waits_for_an_endpoint_that_connects_shortly_after)
{
    // Never destroyed: detached coroutines refer to it until the test process ends.
    Fixture &fixture = *new Fixture(28'820);
    fixture.addAgent(Script::FailMidway);
    fixture.addAgent(std::nullopt);
    fixture.loop.runFor(500ms);
    // The second agent starts to listen while the request is in progress.
    wire::coroutineTasks().add(fixture.loop.io().sleep(400ms).then([&fixture]() {
        fixture.servers.push_back(std::make_unique<wire::RpcServer>(
            fixture.loop.io(), wire::RpcIdentity{"agent", "s"},
            [&fixture](const std::function<void()> &) {
                wire::RpcServer::Sessions sessions;
                sessions.agent =
                    kj::heap<ScriptedAgent>(Script::AnswerCompletely, fixture.resumedFrom);
                return sessions;
            },
            1min));
        return fixture.servers.back()->listen(fixture.agents[1].address).promise().ignoreResult();
    }));
    cr_assert(std::holds_alternative<entry::CompletedAnswer>(fixture.run()));
}

Test(requestsession, a_request_refused_by_all_endpoints_fails_at_once)
{
    // Never destroyed: detached coroutines refer to it until the test process ends.
    Fixture &fixture = *new Fixture(28'830);
    fixture.addAgent(Script::RefuseAlways);
    fixture.addAgent(Script::RefuseAlways);
    fixture.loop.runFor(500ms);
    const core::TimePoint begun = core::BootClock::now();
    const auto failure = std::get<entry::AnswerFailure>(fixture.run());
    cr_assert(failure.outcome == core::Outcome::NotRun);
    cr_assert_gt(failure.retryAfter.count(), 0);
    cr_assert_lt((core::BootClock::now() - begun) / 1ms, 1'000);
}

Test(requestsession, a_submission_without_a_reply_is_resolved_before_a_retry)
{
    // Never destroyed: detached coroutines refer to it until the test process ends.
    Fixture &fixture = *new Fixture(28'840);
    fixture.addAgent(Script::NeverReply);
    fixture.loop.runFor(500ms);
    // The agent resolves the id to a tombstone, so "not run" holds even for work that is not
    // idempotent.
    const auto failure = std::get<entry::AnswerFailure>(fixture.run(false));
    cr_assert(failure.outcome == core::Outcome::NotRun);
    cr_assert(fixture.resumedFrom.empty());
}
