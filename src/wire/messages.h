#pragma once

/** \file
 * Defines the messages between entries and agents as C++ structures, and their conversion to and
 * from Cap'n Proto.
 */

#include "core/hybridclock.h"
#include "core/work.h"
#include "wire/generated/jujube.capnp.h"

#include <string>
#include <vector>

namespace jujube::wire {

struct MessageHeader
{
    std::string name;
    std::string value;
};

/** An attempt to run a request at an endpoint. */
struct WorkMessage
{
    std::string requestId;         ///< The same for all attempts of one caller request.
    uint64_t agentIncarnation = 0; ///< Incarnation of the agent that the attempt is for.
    uint64_t entryIncarnation = 0; ///< Incarnation of the entry that sends it.
    std::string team;
    std::string profile;
    core::WorkKind kind = core::WorkKind::Language;
    std::string prompt;
    uint32_t maxTokens = 0;
    uint32_t resumeTokens = 0; ///< Output tokens that the caller has already received.
    uint32_t priority = 0;
    double weight = 1.0;
    core::Milliseconds timeLeft{};
    core::Milliseconds firstTokenObjective{};
    bool idempotent = false;
    uint64_t usageWindow = 0; ///< Usage window in which entry and agent count the request.
    std::string service;
    std::string method;
    std::string path;
    std::vector<MessageHeader> headers;
    std::string body;
};

/** Progress of a request at one agent. */
using Progress = schema::Progress;

/** Reply of an agent to a WorkMessage. */
struct SubmitReply
{
    bool accepted = false;
    bool incarnationMatches = true;
    core::Milliseconds retryAfter{};
    std::string message;
    core::LoadReport load;
};

/** A part of a response and the progress of its request. */
struct ChunkMessage
{
    std::string data;
    uint64_t nextOffset = 0;
    Progress progress = Progress::ABSENT;
    core::Outcome outcome = core::Outcome::Unknown;
    std::string message;
    core::Milliseconds retryAfter{};
    core::Usage usage;
    uint32_t status = 0;
    std::string contentType;
    uint32_t tokens = 0;
    core::LoadReport load;
};

/** Heartbeat of an entry to an agent. */
struct PingMessage
{
    core::FreshnessToken evidence;
    uint64_t planTerm = 0;
    uint64_t planSequence = 0;
};

void write(schema::WorkRequest::Builder builder, const WorkMessage &work);
WorkMessage read(schema::WorkRequest::Reader reader);

void write(schema::LoadReport::Builder builder, const core::LoadReport &load);
/** Also advances the hybrid clock of this process to the time of the sender. */
core::LoadReport read(schema::LoadReport::Reader reader);

void write(schema::Submitted::Builder builder, const SubmitReply &reply);
SubmitReply read(schema::Submitted::Reader reader);

void write(schema::Chunk::Builder builder, const ChunkMessage &chunk);
ChunkMessage read(schema::Chunk::Reader reader);

void write(schema::Ping::Builder builder, const PingMessage &ping);
PingMessage read(schema::Ping::Reader reader);

void write(schema::Evidence::Builder builder, const core::FreshnessToken &evidence);
core::FreshnessToken read(schema::Evidence::Reader reader);

} // namespace jujube::wire
