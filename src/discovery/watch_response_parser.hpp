// Parses the HTTP response of a registry watch incrementally. Does no I/O.
#ifndef TULIPYOKE_SRC_DISCOVERY_WATCH_RESPONSE_PARSER_HPP_
#define TULIPYOKE_SRC_DISCOVERY_WATCH_RESPONSE_PARSER_HPP_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/discovery/json_stream_splitter.hpp"

namespace tulipyoke::discovery {

// The body contains JSON values, and blank lines as heartbeats. See JsonStreamSplitter.
class WatchResponseParser {
 public:
  WatchResponseParser();
  ~WatchResponseParser() = default;
  WatchResponseParser(const WatchResponseParser&) = delete;
  WatchResponseParser& operator=(const WatchResponseParser&) = delete;

  // Appends the values that these bytes complete. An empty value is a heartbeat. Returns false if the
  // response has ended, is not valid HTTP with status 200, or contains a value that is too large.
  bool Feed(std::string_view bytes, std::vector<std::string>& values);
  // Returns true once the response headers have arrived with status 200.
  bool watch_opened() const { return watch_opened_; }

 private:
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  http_parser parser_;
  http_parser_settings callbacks_;
  JsonStreamSplitter splitter_;
  std::vector<std::string>* values_ = nullptr;  // set only during Feed()
  bool watch_opened_ = false;
  bool response_ended_ = false;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_WATCH_RESPONSE_PARSER_HPP_
