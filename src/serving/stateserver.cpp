#include "serving/stateserver.h"

#include "core/compression.h"
#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "serving/gossip.h"

#include <charconv>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr std::string_view Path = "/state";
constexpr std::string_view AfterParameter = "?after="; ///< Followed by "ERA.REVISION".
constexpr char VersionSeparator = '.';
constexpr std::string_view AcceptField = "Accept-Encoding";
constexpr std::string_view EncodingField = "Content-Encoding";
constexpr std::string_view PlainSizeField = "Plain-Size"; ///< Of a compressed body, in bytes.
constexpr std::string_view Compressed = "deflate";
// Most states carry a few changed endpoints; compressing them would cost more than it saves.
constexpr size_t MinCompressedBytes = 4'096;
// Removals that were postponed do not change the version, so an encoded state is valid for a short
// time only.
constexpr Milliseconds EncodedStateLifetime{100};
constexpr size_t MaxEncodedStates = 4;

} // namespace

http::Request stateRequest(const StoreVersion &newerThan)
{
    http::Request request;
    request.head.method = "GET";
    request.head.target =
        core::concat(Path, AfterParameter, newerThan.era, ".", newerThan.revision);
    request.head.fields.add(AcceptField, Compressed);
    return request;
}

std::optional<StoreVersion> requestedStateVersion(std::string_view target)
{
    if (!target.starts_with(Path))
        return std::nullopt;
    target.remove_prefix(Path.size());
    if (target.empty())
        return StoreVersion();
    if (!target.starts_with(AfterParameter))
        return std::nullopt;
    target.remove_prefix(AfterParameter.size());
    StoreVersion version;
    const char *end = target.data() + target.size();
    const auto era = std::from_chars(target.data(), end, version.era);
    if (era.ec != std::errc() || era.ptr == end || *era.ptr != VersionSeparator)
        return std::nullopt;
    const auto revision = std::from_chars(era.ptr + 1, end, version.revision);
    if (revision.ec != std::errc() || revision.ptr != end)
        return std::nullopt;
    return version;
}

absl::StatusOr<StorePage> decodeStateResponse(const http::Response &response)
{
    if (response.head.status != http::status::Ok)
        return absl::InvalidArgumentError(core::concat("status ", response.head.status));
    if (response.head.fields.find(EncodingField) != Compressed)
        return decodeState(response.body);
    const std::string_view text = response.head.fields.find(PlainSizeField).value_or("");
    size_t size = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), size);
    if (ec != std::errc() || end != text.data() + text.size() || size > MaxStateBytes)
        return absl::InvalidArgumentError("the size of the state is malformed or too large");
    const auto plain = core::decompress(response.body, size);
    if (!plain.ok())
        return plain.status();
    return decodeState(*plain);
}

StateServer::StateServer(boost::asio::io_context &io, StateSource source)
    : m_source(std::move(source)),
      m_server(io, [this](const http::Request &request, const http::Responder &responder) {
          handle(request, responder);
      })
{
    http::ServerLimits limits;
    limits.maxBodyBytes = 0;
    m_server.setLimits(limits);
}

const StateServer::EncodedState &StateServer::encodedState(const StoreVersion &newerThan)
{
    const TimePoint now = core::BootClock::now();
    const StoreVersion version = m_source.version();
    while (!m_encodedStates.empty()
           && (now - m_encodedStates.front().encodedAt >= EncodedStateLifetime
               || m_encodedStates.size() > MaxEncodedStates))
        m_encodedStates.pop_front();
    for (const EncodedState &it : m_encodedStates) {
        if (it.newerThan == newerThan && it.version == version)
            return it;
    }
    EncodedState &state = m_encodedStates.emplace_back();
    state.newerThan = newerThan;
    state.version = version;
    state.encodedAt = now;
    state.plain = encodeState(m_source.changesAfter(newerThan));
    if (state.plain.size() >= MinCompressedBytes)
        state.compressed = core::compress(state.plain);
    if (state.compressed.size() >= state.plain.size())
        state.compressed.clear();
    return state;
}

void StateServer::handle(const http::Request &request, const http::Responder &responder)
{
    http::Head head;
    const auto newerThan = requestedStateVersion(request.head.target);
    if (!newerThan) {
        head.status = http::status::NotFound;
        responder.send(head, {});
        return;
    }
    head.status = http::status::Ok;
    const EncodedState &state = encodedState(*newerThan);
    const bool compressed =
        !state.compressed.empty() && request.head.fields.find(AcceptField) == Compressed;
    if (compressed) {
        head.fields.add(EncodingField, Compressed);
        head.fields.add(PlainSizeField, std::to_string(state.plain.size()));
    }
    const std::string &body = compressed ? state.compressed : state.plain;
    ++m_servedRequests;
    m_servedBytes += body.size();
    responder.send(head, body);
}

void StateServer::logServed()
{
    if (m_servedRequests == 0)
        return;
    core::incrementCounter("jujube_state_served_total", {}, m_servedRequests);
    core::incrementCounter("jujube_state_served_bytes_total", {}, m_servedBytes);
    core::Event("state.served").with("requests", m_servedRequests).with("bytes", m_servedBytes);
    m_servedRequests = m_servedBytes = 0;
}

} // namespace jujube::serving
