#include "src/hot_restart/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace tulipyoke::net {
namespace {

// In the order of HotRestartStep.
constexpr std::array<std::string_view, 4> kStepTexts = {"hello", "synced", "serving", "done"};

// The first fields of the other lines.
constexpr std::string_view kDescriptorsKind = "holds";
constexpr std::string_view kSessionKind = "session";
constexpr std::string_view kServerKind = "server";

// Removes the field up to the next space, and that space, from the front of `rest`.
std::string_view TakeField(std::string_view& rest) {
  const std::size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view field = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return field;
}

// Whether the next field of `rest` is a number that fits; it is removed in any case.
template <typename Number>
bool TakeNumber(std::string_view& rest, Number& number) {
  const std::string_view field = TakeField(rest);
  const char* const field_end = field.data() + field.size();
  const auto [end, error] = std::from_chars(field.data(), field_end, number);
  return error == std::errc() && end == field_end;
}

struct TextOf {
  std::string operator()(HotRestartStep step) const {
    return std::string(kStepTexts[static_cast<std::size_t>(step)]);
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
};

std::optional<HotRestartStep> ParseStep(std::string_view line) {
  const auto found = std::find(kStepTexts.begin(), kStepTexts.end(), line);
  if (found == kStepTexts.end()) return std::nullopt;
  return static_cast<HotRestartStep>(found - kStepTexts.begin());
}

// The parsers below are given what follows the first field.

std::optional<HotRestartMessage> ParseDescriptorUsage(std::string_view rest) {
  DescriptorUsage usage;
  if (!TakeNumber(rest, usage.descriptors)) return std::nullopt;
  if (!rest.empty() || usage.descriptors < 0) return std::nullopt;
  return usage;
}

std::optional<HotRestartMessage> ParseSession(std::string_view rest) {
  SessionUpdate session;
  if (!TakeNumber(rest, session.session_key)) return std::nullopt;
  if (!TakeNumber(rest, session.group)) return std::nullopt;
  if (!TakeNumber(rest, session.commit_unix_ms)) return std::nullopt;
  if (!rest.empty()) return std::nullopt;
  return session;
}

std::optional<HotRestartMessage> ParseServer(std::string_view rest) {
  ServerUpdate server;
  int role = 0;
  if (!TakeNumber(rest, role)) return std::nullopt;
  if (!TakeNumber(rest, server.role_time)) return std::nullopt;
  if (!TakeNumber(rest, server.position_unix_ms)) return std::nullopt;
  if (role < 0 || role > static_cast<int>(Role::kReplica)) return std::nullopt;
  if (rest.empty()) return std::nullopt;
  server.role = static_cast<Role>(role);
  server.id = rest;  // all of it: an id may hold spaces
  return server;
}

}  // namespace

std::string ToLine(const HotRestartMessage& message) { return std::visit(TextOf(), message) + "\n"; }

std::optional<HotRestartMessage> ParseHotRestartMessage(std::string_view line) {
  if (const std::optional<HotRestartStep> step = ParseStep(line)) return *step;
  const std::string_view kind = TakeField(line);
  if (kind == kDescriptorsKind) return ParseDescriptorUsage(line);
  if (kind == kSessionKind) return ParseSession(line);
  if (kind == kServerKind) return ParseServer(line);
  return std::nullopt;
}

}  // namespace tulipyoke::net
