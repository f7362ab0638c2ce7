// One HTTP/1.1 request to the admin server, parsed as its bytes come in. No sockets.
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
    kMalformed,  // not HTTP/1.1, or larger than a request to this server can be
  };

  HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  // Takes the next bytes, however the request was cut. Bytes after a complete request are ignored.
  Progress Feed(std::string_view bytes);

  // Of a complete request.
  std::string method() const { return http_method_str(static_cast<http_method>(parser_.method)); }
  // Of a complete request: without the query; empty where the request names no path.
  std::string Path() const;

 private:
  static int OnUrl(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  http_parser parser_;
  http_parser_settings callbacks_;
  std::string url_;
  std::size_t received_ = 0;  // bytes
  bool complete_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_ADMIN_HTTP_REQUEST_PARSER_HPP_
