#include "wire/messages.h"

#include <algorithm>

namespace jujube::wire {

namespace {

std::string text(capnp::Text::Reader reader)
{
    return {reader.cStr(), reader.size()};
}

std::string bytes(capnp::Data::Reader reader)
{
    return {reinterpret_cast<const char *>(reader.begin()), reader.size()};
}

capnp::Data::Reader data(const std::string &value)
{
    return {reinterpret_cast<const kj::byte *>(value.data()), value.size()};
}

schema::Role toSchema(core::Role role)
{
    switch (role) {
    case core::Role::Mixed:
        return schema::Role::MIXED;
    case core::Role::Prefill:
        return schema::Role::PREFILL;
    case core::Role::Decode:
        return schema::Role::DECODE;
    }
    return schema::Role::MIXED;
}

core::Role fromSchema(schema::Role role)
{
    if (role == schema::Role::PREFILL)
        return core::Role::Prefill;
    return role == schema::Role::DECODE ? core::Role::Decode : core::Role::Mixed;
}

schema::Outcome toSchema(core::Outcome outcome)
{
    switch (outcome) {
    case core::Outcome::Whole:
        return schema::Outcome::WHOLE;
    case core::Outcome::NotRun:
        return schema::Outcome::NOT_RUN;
    case core::Outcome::Unknown:
        return schema::Outcome::UNKNOWN;
    case core::Outcome::Failed:
        return schema::Outcome::FAILED;
    }
    return schema::Outcome::UNKNOWN;
}

core::Outcome fromSchema(schema::Outcome outcome)
{
    switch (outcome) {
    case schema::Outcome::WHOLE:
        return core::Outcome::Whole;
    case schema::Outcome::NOT_RUN:
        return core::Outcome::NotRun;
    case schema::Outcome::FAILED:
        return core::Outcome::Failed;
    case schema::Outcome::UNKNOWN:
        break;
    }
    return core::Outcome::Unknown;
}

uint32_t narrow(uint64_t value)
{
    return static_cast<uint32_t>(std::min<uint64_t>(value, UINT32_MAX));
}

core::Milliseconds ms(uint32_t count)
{
    return core::Milliseconds(count);
}

} // namespace

void write(schema::WorkRequest::Builder builder, const WorkMessage &work)
{
    builder.setRequestId(work.requestId.c_str());
    builder.setIncarnation(work.agentIncarnation);
    builder.setEntry(work.entryIncarnation);
    builder.setTeam(work.team.c_str());
    builder.setProfile(work.profile.c_str());
    builder.setKind(work.kind == core::WorkKind::Service ? schema::Kind::SERVICE
                                                         : schema::Kind::LANGUAGE);
    builder.setPrompt(capnp::Text::Reader(work.prompt.c_str(), work.prompt.size()));
    builder.setMaxTokens(work.maxTokens);
    builder.setResumeTokens(work.resumeTokens);
    builder.setPriority(static_cast<uint8_t>(work.priority));
    builder.setWeight(work.weight);
    builder.setDeadlineMs(core::toMessageMs(work.timeLeft));
    builder.setFirstTokenMs(core::toMessageMs(work.firstTokenObjective));
    builder.setIdempotent(work.idempotent);
    builder.setWindow(work.usageWindow);
    builder.setService(work.service.c_str());
    builder.setMethod(work.method.c_str());
    builder.setPath(work.path.c_str());
    auto headers = builder.initHeaders(static_cast<uint>(work.headers.size()));
    for (uint i = 0; i < headers.size(); ++i) {
        headers[i].setName(work.headers[i].name.c_str());
        headers[i].setValue(work.headers[i].value.c_str());
    }
    builder.setBody(data(work.body));
}

WorkMessage read(schema::WorkRequest::Reader reader)
{
    WorkMessage work;
    work.requestId = text(reader.getRequestId());
    work.agentIncarnation = reader.getIncarnation();
    work.entryIncarnation = reader.getEntry();
    work.team = text(reader.getTeam());
    work.profile = text(reader.getProfile());
    work.kind = reader.getKind() == schema::Kind::SERVICE ? core::WorkKind::Service
                                                          : core::WorkKind::Language;
    work.prompt = text(reader.getPrompt());
    work.maxTokens = reader.getMaxTokens();
    work.resumeTokens = reader.getResumeTokens();
    work.priority = reader.getPriority();
    work.weight = reader.getWeight();
    work.timeLeft = ms(reader.getDeadlineMs());
    work.firstTokenObjective = ms(reader.getFirstTokenMs());
    work.idempotent = reader.getIdempotent();
    work.usageWindow = reader.getWindow();
    work.service = text(reader.getService());
    work.method = text(reader.getMethod());
    work.path = text(reader.getPath());
    for (const auto it : reader.getHeaders())
        work.headers.push_back({text(it.getName()), text(it.getValue())});
    work.body = bytes(reader.getBody());
    return work;
}

void write(schema::LoadReport::Builder builder, const core::LoadReport &load)
{
    builder.setIncarnation(load.incarnation);
    builder.setQueuedRequests(load.queuedRequests);
    builder.setQueuedTokens(load.queuedPrefillTokens);
    builder.setRunning(load.running);
    builder.setSlots(load.slots);
    builder.setOutstandingOutput(load.outstandingOutputTokens);
    builder.setPrefillRate(load.prefillTokensPerSecond);
    builder.setDecodeRate(load.decodeTokensPerSecond);
    builder.setFreeKvPieces(load.freeKvPieces);
    builder.setRole(toSchema(load.role));
    builder.setReady(load.ready);
    builder.setLeaving(load.leaving);
    builder.setAppliedTerm(load.appliedTerm);
    builder.setAppliedSequence(load.appliedSequence);
    builder.setOldestQueuedMs(core::toMessageMs(load.oldestQueuedAge));
    builder.setUnmetDeadlines(load.unmetDeadlines);
    builder.setHybridTime(core::processClock().tick());
    write(builder.initEvidence(), load.freshnessToken);
}

core::LoadReport read(schema::LoadReport::Reader reader)
{
    core::LoadReport load;
    load.incarnation = reader.getIncarnation();
    load.queuedRequests = reader.getQueuedRequests();
    load.queuedPrefillTokens = reader.getQueuedTokens();
    load.running = reader.getRunning();
    load.slots = reader.getSlots();
    load.outstandingOutputTokens = reader.getOutstandingOutput();
    load.prefillTokensPerSecond = reader.getPrefillRate();
    load.decodeTokensPerSecond = reader.getDecodeRate();
    load.freeKvPieces = reader.getFreeKvPieces();
    load.role = fromSchema(reader.getRole());
    load.ready = reader.getReady();
    load.leaving = reader.getLeaving();
    load.appliedTerm = reader.getAppliedTerm();
    load.appliedSequence = reader.getAppliedSequence();
    load.oldestQueuedAge = ms(reader.getOldestQueuedMs());
    load.unmetDeadlines = reader.getUnmetDeadlines();
    load.freshnessToken = read(reader.getEvidence());
    core::processClock().observe(reader.getHybridTime());
    return load;
}

void write(schema::Submitted::Builder builder, const SubmitReply &reply)
{
    builder.setAccepted(reply.accepted);
    builder.setIncarnationMatches(reply.incarnationMatches);
    builder.setRetryAfterMs(core::toMessageMs(reply.retryAfter));
    builder.setMessage(reply.message.c_str());
    write(builder.initLoad(), reply.load);
}

SubmitReply read(schema::Submitted::Reader reader)
{
    SubmitReply reply;
    reply.accepted = reader.getAccepted();
    reply.incarnationMatches = reader.getIncarnationMatches();
    reply.retryAfter = ms(reader.getRetryAfterMs());
    reply.message = text(reader.getMessage());
    reply.load = read(reader.getLoad());
    return reply;
}

void write(schema::Chunk::Builder builder, const ChunkMessage &chunk)
{
    builder.setData(data(chunk.data));
    builder.setNextOffset(chunk.nextOffset);
    builder.setProgress(chunk.progress);
    builder.setOutcome(toSchema(chunk.outcome));
    builder.setMessage(chunk.message.c_str());
    builder.setRetryAfterMs(core::toMessageMs(chunk.retryAfter));
    auto usage = builder.initUsage();
    usage.setPromptTokens(narrow(chunk.usage.promptTokens));
    usage.setCachedTokens(narrow(chunk.usage.cachedTokens));
    usage.setOutputTokens(narrow(chunk.usage.outputTokens));
    builder.setStatus(static_cast<uint16_t>(chunk.status));
    builder.setContentType(chunk.contentType.c_str());
    builder.setTokens(chunk.tokens);
    write(builder.initLoad(), chunk.load);
}

ChunkMessage read(schema::Chunk::Reader reader)
{
    ChunkMessage chunk;
    chunk.data = bytes(reader.getData());
    chunk.nextOffset = reader.getNextOffset();
    chunk.progress = reader.getProgress();
    chunk.outcome = fromSchema(reader.getOutcome());
    chunk.message = text(reader.getMessage());
    chunk.retryAfter = ms(reader.getRetryAfterMs());
    chunk.usage = {reader.getUsage().getPromptTokens(), reader.getUsage().getCachedTokens(),
                   reader.getUsage().getOutputTokens()};
    chunk.status = reader.getStatus();
    chunk.contentType = text(reader.getContentType());
    chunk.tokens = reader.getTokens();
    chunk.load = read(reader.getLoad());
    return chunk;
}

void write(schema::Ping::Builder builder, const PingMessage &ping)
{
    builder.setHybridTime(core::processClock().tick());
    write(builder.initEvidence(), ping.evidence);
    builder.setPlanTerm(ping.planTerm);
    builder.setPlanSequence(ping.planSequence);
}

PingMessage read(schema::Ping::Reader reader)
{
    core::processClock().observe(reader.getHybridTime());
    PingMessage ping;
    ping.evidence = read(reader.getEvidence());
    ping.planTerm = reader.getPlanTerm();
    ping.planSequence = reader.getPlanSequence();
    return ping;
}

void write(schema::Evidence::Builder builder, const core::FreshnessToken &evidence)
{
    builder.setVersion(evidence.version);
    builder.setAgeMs(core::toMessageMs(core::BootClock::now() - evidence.confirmedAt));
}

core::FreshnessToken read(schema::Evidence::Reader reader)
{
    // The transit time of the message is not known here; the caller subtracts its round-trip time.
    return {reader.getVersion(), core::BootClock::now() - ms(reader.getAgeMs())};
}

} // namespace jujube::wire
