// Parses the HTTP response of a registry watch as its bytes arrive. No I/O.
#ifndef TULIPYOKE_SRC_DISCOVERY_WATCH_RESPONSE_PARSER_HPP_
#define TULIPYOKE_SRC_DISCOVERY_WATCH_RESPONSE_PARSER_HPP_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/discovery/json_stream_splitter.hpp"

namespace tulipyoke::discovery {

// The body holds JSON values and, as heartbeats, blank lines; see JsonStreamSplitter.
class WatchResponseParser {
 public:
  WatchResponseParser();
  ~WatchResponseParser() = default;
  WatchResponseParser(const WatchResponseParser&) = delete;
  WatchResponseParser& operator=(const WatchResponseParser&) = delete;

  // Appends the values that these bytes complete; an empty one is a heartbeat. False: the response is no
  // watch, or has ended.
  bool Feed(std::string_view bytes, std::vector<std::string>& values);
  // Whether the head has come and opens a watch.
  bool begun() const { return begun_; }

 private:
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  http_parser parser_;
  http_parser_settings callbacks_;
  JsonStreamSplitter splitter_;
  std::vector<std::string>* values_ = nullptr;  // during Feed()
  bool begun_ = false;
  bool ended_ = false;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_WATCH_RESPONSE_PARSER_HPP_
