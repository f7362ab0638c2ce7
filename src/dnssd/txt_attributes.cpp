#include "src/dnssd/txt_attributes.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string_view>
#include <system_error>

namespace tulipyoke::dnssd {
namespace {

constexpr double kMaxSize = 1e6;
constexpr int kMaxGroup = 65535;
constexpr std::size_t kMaxWordLength = 63;

template <typename Number>
bool ParseNumber(std::string_view text, Number& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// Printable ASCII without spaces, since such words go into log lines and lists.
bool IsWord(std::string_view text) {
  return text.size() <= kMaxWordLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

using MaybeReason = std::optional<TxtFaultReason>;

MaybeReason Unless(bool valid, TxtFaultReason reason) { return valid ? MaybeReason() : reason; }

MaybeReason CheckVersion(std::string_view value) {
  int version = 0;
  return Unless(ParseNumber(value, version) && version == kTxtVersion, TxtFaultReason::kUnknownVersion);
}

MaybeReason SetGroup(std::string_view value, TxtAttributes& attributes) {
  const bool valid =
      ParseNumber(value, attributes.group) && attributes.group >= 0 && attributes.group <= kMaxGroup;
  return Unless(valid, TxtFaultReason::kGroupOutOfRange);
}

MaybeReason SetSize(std::string_view value, TxtAttributes& attributes) {
  const bool valid =
      ParseNumber(value, attributes.size) && attributes.size > 0 && attributes.size <= kMaxSize;
  return Unless(valid, TxtFaultReason::kInvalidSize);
}

MaybeReason SetStartTime(std::string_view value, TxtAttributes& attributes) {
  const bool valid = ParseNumber(value, attributes.started_unix_ms) && attributes.started_unix_ms >= 0;
  return Unless(valid, TxtFaultReason::kInvalidStartTime);
}

MaybeReason SetState(std::string_view value, TxtAttributes& attributes) {
  attributes.draining = value == "terminating";
  return Unless(attributes.draining || value == "in_service", TxtFaultReason::kUnknownState);
}

MaybeReason SetRole(std::string_view value, TxtAttributes& attributes) {
  attributes.primary = value == "primary";
  return Unless(attributes.primary || value == "replica", TxtFaultReason::kUnknownRole);
}

MaybeReason SetWord(std::string_view value, std::string& word) {
  word = value;
  return Unless(IsWord(value), TxtFaultReason::kInvalidWord);
}

// None: the value is valid, or the key unknown.
MaybeReason SetAttribute(const std::string& key, std::string_view value, TxtAttributes& attributes) {
  if (key == "txtvers") return CheckVersion(value);
  if (key == "group") return SetGroup(value, attributes);
  if (key == "size") return SetSize(value, attributes);
  if (key == "started") return SetStartTime(value, attributes);
  if (key == "state") return SetState(value, attributes);
  if (key == "role") return SetRole(value, attributes);
  if (key == "id") return SetWord(value, attributes.id);
  if (key == "site") return SetWord(value, attributes.site);
  if (key == "kind") return SetWord(value, attributes.kind);
  if (key == "version") return SetWord(value, attributes.version);
  return std::nullopt;
}

std::string ReasonText(TxtFaultReason reason) {
  switch (reason) {
    case TxtFaultReason::kTooLong:
      return "is longer than " + std::to_string(kMaxTxtBytes) + " bytes";
    case TxtFaultReason::kSeveralRecords:
      return "stands there more than once";
    case TxtFaultReason::kUnknownVersion:
      return "is a version that is not known";
    case TxtFaultReason::kGroupOutOfRange:
      return "is no number up to 65535";
    case TxtFaultReason::kInvalidSize:
      return "is no number over 0";
    case TxtFaultReason::kInvalidStartTime:
      return "is no Unix time in milliseconds";
    case TxtFaultReason::kUnknownState:
      return "is neither in_service nor terminating";
    case TxtFaultReason::kUnknownRole:
      return "is neither primary nor replica";
    case TxtFaultReason::kInvalidWord:
      return "is no plain word of up to 63 letters";
  }
  return "";
}

}  // namespace

std::string ToText(const TxtFault& fault) { return fault.key + " " + ReasonText(fault.reason); }

std::variant<TxtAttributes, TxtFault> ParseTxtAttributes(const TxtData& txt) {
  std::size_t bytes = 0;
  for (const std::string& string : txt.strings) bytes += string.size() + 1;
  if (bytes > kMaxTxtBytes) return TxtFault{"TXT", TxtFaultReason::kTooLong};
  TxtAttributes attributes;
  std::set<std::string> seen;
  for (const std::string& string : txt.strings) {
    const std::size_t equals = string.find('=');
    if (equals == std::string::npos || equals == 0) continue;
    const std::string key = ToLowerCase(std::string_view(string).substr(0, equals));
    if (!seen.insert(key).second) continue;
    const MaybeReason reason = SetAttribute(key, std::string_view(string).substr(equals + 1), attributes);
    if (reason) return TxtFault{key, *reason};
  }
  return attributes;
}

}  // namespace tulipyoke::dnssd
