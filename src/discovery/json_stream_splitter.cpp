#include "src/discovery/json_stream_splitter.hpp"

#include <utility>

namespace tulipyoke::discovery {
namespace {

bool IsOpening(char character) { return character == '{' || character == '['; }
bool IsClosing(char character) { return character == '}' || character == ']'; }
bool IsSpace(char character) {
  return character == ' ' || character == '\t' || character == '\r' || character == '\n';
}

}  // namespace

void JsonStreamSplitter::Feed(char character, std::vector<std::string>& values) {
  if (value_.empty()) return Begin(character, values);
  // What is no object or array ends with its line. A string cannot hold a line end, so a value that was cut
  // off within one ends there as well and does not swallow the next value.
  if (character == '\n' && (depth_ == 0 || in_string_)) {
    blank_line_ = true;
    return Complete(values);
  }
  value_ += character;
  if (depth_ == 0) return;
  TrackNesting(character);
  if (depth_ == 0) Complete(values);
}

void JsonStreamSplitter::Begin(char character, std::vector<std::string>& values) {
  if (character == '\n' && std::exchange(blank_line_, true)) values.emplace_back();
  if (IsSpace(character)) return;
  blank_line_ = false;
  depth_ = IsOpening(character) ? 1 : 0;
  value_ = character;
}

void JsonStreamSplitter::TrackNesting(char character) {
  if (in_string_) {
    if (character == '"' && !escaped_) in_string_ = false;
    escaped_ = character == '\\' && !escaped_;
    return;
  }
  in_string_ = character == '"';
  if (IsOpening(character)) ++depth_;
  if (IsClosing(character)) --depth_;
}

void JsonStreamSplitter::Complete(std::vector<std::string>& values) {
  values.push_back(std::exchange(value_, {}));
  depth_ = 0;
  in_string_ = false;
  escaped_ = false;
}

}  // namespace tulipyoke::discovery
