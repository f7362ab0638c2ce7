#include "src/net/door.hpp"

#include <array>
#include <chrono>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace tulipyoke::net {
namespace {

// A call is a line and a few headers; more is none.
constexpr std::size_t kLargestCall = std::size_t{8} << 10;
// Callers at once. One more takes the place of the one that has been there longest: those that say nothing
// must neither keep out an operator nor take the clients' descriptors.
constexpr std::size_t kMostCallers = 16;
// A call that is not whole by then is none; and the time to read an answer and close.
constexpr auto kPatience = std::chrono::seconds(5);
constexpr auto kLinger = std::chrono::seconds(1);
constexpr auto kAcceptPause = std::chrono::milliseconds(20);

}  // namespace

CallParser::CallParser() : parser_{}, callbacks_{} {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  http_parser_settings_init(&callbacks_);
  callbacks_.on_url = &OnUrl;
  callbacks_.on_message_complete = &OnEnd;
}

int CallParser::OnUrl(http_parser* parser, const char* at, std::size_t size) {
  static_cast<CallParser*>(parser->data)->url_.append(at, size);
  return 0;
}

int CallParser::OnEnd(http_parser* parser) {
  static_cast<CallParser*>(parser->data)->whole_ = true;
  http_parser_pause(parser, 1);  // what follows is nobody's
  return 0;
}

CallParser::Progress CallParser::Feed(std::string_view bytes) {
  if (whole_) return Progress::kWhole;
  taken_ += bytes.size();
  http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
  if (whole_) return Progress::kWhole;
  const bool readable = HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !parser_.upgrade;
  return readable && taken_ <= kLargestCall ? Progress::kMore : Progress::kBad;
}

std::string CallParser::Path() const {
  http_parser_url parts;
  http_parser_url_init(&parts);
  if (http_parser_parse_url(url_.data(), url_.size(), 0, &parts) != 0) return "";
  const auto& field = parts.field_data[UF_PATH];
  return parts.field_set & 1 << UF_PATH ? url_.substr(field.off, field.len) : "";
}

std::string ToHttp(const Reply& reply) {
  std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                    http_status_str(static_cast<http_status>(reply.status)) +
                    "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(reply.body.size());
  if (!reply.allow.empty()) out += "\r\nAllow: " + reply.allow;
  return out + "\r\nConnection: close\r\n\r\n" + reply.body;
}

struct OperatorDoor::Caller {
  Caller(asio::ip::tcp::socket accepted, asio::io_context& io) : socket(std::move(accepted)), timer(io) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  CallParser parser;
  bool answered = false, closed = false;
  std::string out;
  std::array<char, 1024> in{};
};

OperatorDoor::OperatorDoor(asio::io_context& io, const asio::ip::tcp::endpoint& listen, Answer answer)
    : io_(io), answer_(std::move(answer)), acceptor_(io), pause_(io) {
  try {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
  } catch (const std::system_error& error) {
    throw std::runtime_error("cannot listen for operators on port " + std::to_string(listen.port()) + " of " +
                             listen.address().to_string() + ": " + error.code().message());
  }
  Accept();
}

OperatorDoor::~OperatorDoor() = default;

void OperatorDoor::Accept() {
  acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {
      pause_.expires_after(kAcceptPause);
      return pause_.async_wait([this](std::error_code failed) {
        if (!failed) Accept();
      });
    }
    if (callers_.size() >= kMostCallers) {
      ++counters_.silent;
      Close(CallerPtr(callers_.front()));
    }
    const auto caller = std::make_shared<Caller>(std::move(socket), io_);
    callers_.push_back(caller);
    caller->timer.expires_after(kPatience);
    caller->timer.async_wait([this, caller](std::error_code failed) {
      if (failed || caller->closed || caller->answered) return;
      ++counters_.silent;
      Say(caller, {408, "no whole call came in time\n"});
    });
    Read(caller);
    Accept();
  });
}

void OperatorDoor::Read(const CallerPtr& caller) {
  caller->socket.async_read_some(asio::buffer(caller->in),
                                 [this, caller](std::error_code error, std::size_t size) {
                                   if (caller->closed) return;
                                   if (error) return Close(caller);
                                   if (!caller->answered) OnBytes(caller, size);
                                   if (!caller->closed) Read(caller);
                                 });
}

void OperatorDoor::OnBytes(const CallerPtr& caller, std::size_t size) {
  switch (caller->parser.Feed(std::string_view(caller->in.data(), size))) {
    case CallParser::Progress::kMore:
      return;
    case CallParser::Progress::kBad:
      ++counters_.bad;
      return Say(caller, {400, "not a call in HTTP/1.1\n"});
    case CallParser::Progress::kWhole:
      ++counters_.calls;
      return Say(caller, answer_(caller->parser.method(), caller->parser.Path()));
  }
}

// Says it, then waits for the caller to close: closing at once could destroy what it has not read.
void OperatorDoor::Say(const CallerPtr& caller, const Reply& reply) {
  caller->answered = true;
  caller->out = ToHttp(reply);
  asio::async_write(caller->socket, asio::buffer(caller->out),
                    [this, caller](std::error_code error, std::size_t) {
                      if (caller->closed) return;
                      if (error) return Close(caller);
                      std::error_code ignored;
                      caller->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                    });
  caller->timer.expires_after(kLinger);
  caller->timer.async_wait([this, caller](std::error_code failed) {
    if (!failed) Close(caller);
  });
}

void OperatorDoor::Close(const CallerPtr& caller) {
  if (caller->closed) return;
  caller->closed = true;
  caller->timer.cancel();
  std::error_code ignored;
  caller->socket.close(ignored);
  callers_.remove(caller);
}

void OperatorDoor::Stop() {
  std::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  for (const CallerPtr& caller : std::list<CallerPtr>(callers_)) Close(caller);
}

}  // namespace tulipyoke::net
