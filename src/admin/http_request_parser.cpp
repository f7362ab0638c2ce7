#include "src/admin/http_request_parser.hpp"

namespace tulipyoke::net {
namespace {

// In bytes. A valid request is a request line and a few headers.
constexpr std::size_t kMaxRequestSize = std::size_t{8} << 10;

}  // namespace

HttpRequestParser::HttpRequestParser() : parser_{}, callbacks_{} {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  http_parser_settings_init(&callbacks_);
  callbacks_.on_url = &OnUrl;
  callbacks_.on_message_complete = &OnMessageComplete;
}

int HttpRequestParser::OnUrl(http_parser* parser, const char* data, std::size_t size) {
  static_cast<HttpRequestParser*>(parser->data)->url_.append(data, size);
  return 0;
}

int HttpRequestParser::OnMessageComplete(http_parser* parser) {
  static_cast<HttpRequestParser*>(parser->data)->complete_ = true;
  http_parser_pause(parser, 1);  // one request per connection: later bytes are not parsed
  return 0;
}

HttpRequestParser::Progress HttpRequestParser::Feed(std::string_view bytes) {
  if (complete_) return Progress::kComplete;
  received_bytes_ += bytes.size();
  http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
  if (complete_) return Progress::kComplete;
  const bool well_formed = HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !parser_.upgrade;
  return well_formed && received_bytes_ <= kMaxRequestSize ? Progress::kIncomplete : Progress::kMalformed;
}

std::string HttpRequestParser::Path() const {
  http_parser_url url_parts;
  http_parser_url_init(&url_parts);
  if (http_parser_parse_url(url_.data(), url_.size(), 0, &url_parts) != 0) return "";
  if ((url_parts.field_set & (1 << UF_PATH)) == 0) return "";
  const auto& path = url_parts.field_data[UF_PATH];
  return url_.substr(path.off, path.len);
}

}  // namespace tulipyoke::net
