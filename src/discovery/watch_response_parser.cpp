#include "src/discovery/watch_response_parser.hpp"

namespace tulipyoke::discovery {
namespace {

constexpr std::size_t kMaxValueBytes = std::size_t{4} << 20;
constexpr unsigned kHttpOk = 200;
// Return values of the http_parser callbacks.
constexpr int kContinue = 0;
constexpr int kAbort = -1;

}  // namespace

WatchResponseParser::WatchResponseParser() : parser_{}, callbacks_{} {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  http_parser_settings_init(&callbacks_);
  callbacks_.on_headers_complete = &OnHeadersComplete;
  callbacks_.on_body = &OnBody;
  callbacks_.on_message_complete = &OnMessageComplete;
}

bool WatchResponseParser::Feed(std::string_view bytes, std::vector<std::string>& values) {
  values_ = &values;
  const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
  values_ = nullptr;
  return parsed == bytes.size() && HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !response_ended_;
}

int WatchResponseParser::OnHeadersComplete(http_parser* parser) {
  auto& self = *static_cast<WatchResponseParser*>(parser->data);
  self.watch_opened_ = parser->status_code == kHttpOk;
  return self.watch_opened_ ? kContinue : kAbort;
}

int WatchResponseParser::OnBody(http_parser* parser, const char* data, std::size_t size) {
  auto& self = *static_cast<WatchResponseParser*>(parser->data);
  for (const char character : std::string_view(data, size)) self.splitter_.Feed(character, *self.values_);
  return self.splitter_.pending_size() > kMaxValueBytes ? kAbort : kContinue;
}

int WatchResponseParser::OnMessageComplete(http_parser* parser) {
  static_cast<WatchResponseParser*>(parser->data)->response_ended_ = true;
  return kContinue;
}

}  // namespace tulipyoke::discovery
