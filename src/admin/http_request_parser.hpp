// Incremental parser of one HTTP/1.1 request to the admin server. Uses no sockets.
#ifndef TULIPYOKE_SRC_ADMIN_HTTP_REQUEST_PARSER_HPP_
#define TULIPYOKE_SRC_ADMIN_HTTP_REQUEST_PARSER_HPP_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace tulipyoke::net {

class HttpRequestParser {
 public:
  enum class Progress {
    kIncomplete,
    kComplete,
    kMalformed,  // not valid HTTP, an upgrade, or over the size limit
  };

  HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  // Parses the next bytes; a request may be split anywhere. Bytes after a complete request are ignored.
  Progress Feed(std::string_view bytes);

  // Valid only once the request is complete.
  std::string method() const { return http_method_str(static_cast<http_method>(parser_.method)); }
  // Valid only once the request is complete. Excludes the query; empty if the request URL has no path.
  std::string Path() const;

 private:
  static int OnUrl(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  http_parser parser_;
  http_parser_settings callbacks_;
  std::string url_;
  std::size_t received_bytes_ = 0;
  bool complete_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_ADMIN_HTTP_REQUEST_PARSER_HPP_
