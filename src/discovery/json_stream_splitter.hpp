// Splits a stream of characters into JSON values, which may span several lines. Does no I/O.
#ifndef TULIPYOKE_SRC_DISCOVERY_JSON_STREAM_SPLITTER_HPP_
#define TULIPYOKE_SRC_DISCOVERY_JSON_STREAM_SPLITTER_HPP_

#include <cstddef>
#include <string>
#include <vector>

namespace tulipyoke::discovery {

// Extracts objects and arrays without validating them. Other text outside a value is returned as a value up
// to the end of its line, so that the caller can reject it. A blank line outside a value is returned as an
// empty string.
class JsonStreamSplitter {
 public:
  // Processes one character and appends the value that it completes, if any, to `values`.
  void Feed(char character, std::vector<std::string>& values);
  // Returns the number of characters in the incomplete value.
  std::size_t pending_size() const { return pending_value_.size(); }

 private:
  void BeginValue(char character, std::vector<std::string>& values);
  void TrackNesting(char character);
  void CompleteValue(std::vector<std::string>& values);

  std::string pending_value_;  // the incomplete value; empty outside values
  int nesting_depth_ = 0;      // the number of open brackets; 0 if the value is not an object or array
  bool in_string_ = false;
  bool escape_pending_ = false;  // the last character was a backslash that escapes the next one
  bool line_is_blank_ = true;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_JSON_STREAM_SPLITTER_HPP_
