// Splits a stream of characters into JSON values, which may span lines. No I/O.
#ifndef TULIPYOKE_SRC_DISCOVERY_JSON_STREAM_SPLITTER_HPP_
#define TULIPYOKE_SRC_DISCOVERY_JSON_STREAM_SPLITTER_HPP_

#include <cstddef>
#include <string>
#include <vector>

namespace tulipyoke::discovery {

// The values are objects and arrays; they are not validated. Anything else that starts outside of one is
// taken to the end of its line and passed on as a value, for the caller to reject. A blank line outside of a
// value is passed on as an empty string.
class JsonStreamSplitter {
 public:
  // Appends the value that this character completes, if any.
  void Feed(char character, std::vector<std::string>& values);
  // Characters of the value under way.
  std::size_t pending_size() const { return value_.size(); }

 private:
  void Begin(char character, std::vector<std::string>& values);
  void TrackNesting(char character);
  void Complete(std::vector<std::string>& values);

  std::string value_;  // under way; empty outside of values
  int depth_ = 0;      // of its brackets; 0: it is no object or array
  bool in_string_ = false;
  bool escaped_ = false;  // the last character of the string was a backslash that escapes the next one
  bool blank_line_ = true;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_JSON_STREAM_SPLITTER_HPP_
