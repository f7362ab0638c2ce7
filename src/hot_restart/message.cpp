#include "src/hot_restart/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace tulipyoke::net {
namespace {

// Indexed by HotRestartStep.
constexpr std::array<std::string_view, 4> kStepNames = {"hello", "synced", "serving", "done"};

// The first field of each other kind of message.
constexpr std::string_view kDescriptorsKind = "holds";
constexpr std::string_view kSessionKind = "session";
constexpr std::string_view kServerKind = "server";
// Begins the server id in a RequestIdUpdate. The control character keeps it apart from ids in lists.
constexpr std::string_view kRequestIdPrefix = "\x1frequest ";

// Removes the first field, and the space after it, from `remaining` and returns the field.
std::string_view TakeField(std::string_view& remaining) {
  const std::size_t end = std::min(remaining.find(' '), remaining.size());
  const std::string_view field = remaining.substr(0, end);
  remaining.remove_prefix(std::min(end + 1, remaining.size()));
  return field;
}

// Removes the first field of `remaining`. Returns whether it is a number that fits into `number`.
template <typename Number>
bool TakeNumber(std::string_view& remaining, Number& number) {
  const std::string_view field = TakeField(remaining);
  const char* const field_end = field.data() + field.size();
  const auto [end, error] = std::from_chars(field.data(), field_end, number);
  return error == std::errc() && end == field_end;
}

struct MessageFormatter {
  std::string operator()(HotRestartStep step) const {
    return std::string(kStepNames[static_cast<std::size_t>(step)]);
  }
  std::string operator()(const DescriptorUsage& usage) const {
    return std::string(kDescriptorsKind) + " " + std::to_string(usage.descriptors);
  }
  std::string operator()(const SessionUpdate& session) const {
    return std::string(kSessionKind) + " " + std::to_string(session.session_key) + " " +
           std::to_string(session.group) + " " + std::to_string(session.commit_unix_ms);
  }
  std::string operator()(const ServerUpdate& server) const {
    return std::string(kServerKind) + " " + std::to_string(static_cast<int>(server.role)) + " " +
           std::to_string(server.role_time) + " " + std::to_string(server.position_unix_ms) + " " + server.id;
  }
  std::string operator()(const RequestIdUpdate& request) const {
    ServerUpdate carrier;
    carrier.id = std::string(kRequestIdPrefix) + std::to_string(request.key);
    return (*this)(carrier);
  }
};

std::optional<HotRestartStep> ParseStep(std::string_view line) {
  const auto found = std::find(kStepNames.begin(), kStepNames.end(), line);
  if (found == kStepNames.end()) return std::nullopt;
  return static_cast<HotRestartStep>(found - kStepNames.begin());
}

// The parsers below receive the part of the line after the first field.

std::optional<HotRestartMessage> ParseDescriptorUsage(std::string_view remaining) {
  DescriptorUsage usage;
  if (!TakeNumber(remaining, usage.descriptors)) return std::nullopt;
  if (!remaining.empty() || usage.descriptors < 0) return std::nullopt;
  return usage;
}

std::optional<HotRestartMessage> ParseSession(std::string_view remaining) {
  SessionUpdate session;
  if (!TakeNumber(remaining, session.session_key)) return std::nullopt;
  if (!TakeNumber(remaining, session.group)) return std::nullopt;
  if (!TakeNumber(remaining, session.commit_unix_ms)) return std::nullopt;
  if (!remaining.empty()) return std::nullopt;
  return session;
}

std::optional<HotRestartMessage> ParseServer(std::string_view remaining) {
  ServerUpdate server;
  int role = 0;
  if (!TakeNumber(remaining, role)) return std::nullopt;
  if (!TakeNumber(remaining, server.role_time)) return std::nullopt;
  if (!TakeNumber(remaining, server.position_unix_ms)) return std::nullopt;
  if (role < 0 || role > static_cast<int>(Role::kReplica)) return std::nullopt;
  if (remaining.empty()) return std::nullopt;
  if (remaining.starts_with(kRequestIdPrefix)) {
    remaining.remove_prefix(kRequestIdPrefix.size());
    RequestIdUpdate request;
    if (TakeNumber(remaining, request.key) && remaining.empty()) return request;
    return std::nullopt;
  }
  server.role = static_cast<Role>(role);
  server.id = remaining;  // the whole remainder, since an id may contain spaces
  return server;
}

}  // namespace

std::string ToLine(const HotRestartMessage& message) {
  return std::visit(MessageFormatter(), message) + "\n";
}

std::optional<HotRestartMessage> ParseHotRestartMessage(std::string_view line) {
  if (const std::optional<HotRestartStep> step = ParseStep(line)) return *step;
  const std::string_view kind = TakeField(line);
  if (kind == kDescriptorsKind) return ParseDescriptorUsage(line);
  if (kind == kSessionKind) return ParseSession(line);
  if (kind == kServerKind) return ParseServer(line);
  return std::nullopt;
}

}  // namespace tulipyoke::net
