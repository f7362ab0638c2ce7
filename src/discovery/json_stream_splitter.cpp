#include "src/discovery/json_stream_splitter.hpp"

#include <utility>

namespace tulipyoke::discovery {
namespace {

bool IsOpeningBracket(char character) { return character == '{' || character == '['; }
bool IsClosingBracket(char character) { return character == '}' || character == ']'; }
bool IsSpace(char character) {
  return character == ' ' || character == '\t' || character == '\r' || character == '\n';
}

}  // namespace

void JsonStreamSplitter::Feed(char character, std::vector<std::string>& values) {
  if (pending_value_.empty()) return BeginValue(character, values);
  // Text that is not an object or array ends with its line. A JSON string cannot contain a line break, so a
  // value truncated within a string also ends there and does not absorb the next value.
  if (character == '\n' && (nesting_depth_ == 0 || in_string_)) {
    line_is_blank_ = true;
    return CompleteValue(values);
  }
  pending_value_ += character;
  if (nesting_depth_ == 0) return;
  TrackNesting(character);
  if (nesting_depth_ == 0) CompleteValue(values);
}

void JsonStreamSplitter::BeginValue(char character, std::vector<std::string>& values) {
  if (character == '\n' && std::exchange(line_is_blank_, true)) values.emplace_back();
  if (IsSpace(character)) return;
  line_is_blank_ = false;
  nesting_depth_ = IsOpeningBracket(character) ? 1 : 0;
  pending_value_ = character;
}

void JsonStreamSplitter::TrackNesting(char character) {
  if (in_string_) {
    if (character == '"' && !escape_pending_) in_string_ = false;
    escape_pending_ = character == '\\' && !escape_pending_;
    return;
  }
  in_string_ = character == '"';
  if (IsOpeningBracket(character)) ++nesting_depth_;
  if (IsClosingBracket(character)) --nesting_depth_;
}

void JsonStreamSplitter::CompleteValue(std::vector<std::string>& values) {
  values.push_back(std::exchange(pending_value_, {}));
  nesting_depth_ = 0;
  in_string_ = false;
  escape_pending_ = false;
}

}  // namespace tulipyoke::discovery
