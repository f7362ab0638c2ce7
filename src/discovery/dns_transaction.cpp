#include "src/discovery/dns_transaction.hpp"

#include <utility>

#include "src/dnssd/ldns_handles.hpp"

namespace tulipyoke::discovery {
namespace {

using asio::ip::tcp;
using asio::ip::udp;
using dnssd::QueryError;

// This many datagrams that do not answer the query indicate an attack or a broken resolver.
constexpr int kMaxIgnoredDatagrams = 64;
// Limits a response over TCP. A transfer of 12,000 instances is well below this size.
constexpr std::size_t kMaxTcpResponseBytes = std::size_t{16} << 20;
constexpr std::size_t kMaxDatagramBytes = std::size_t{64} << 10;
// Over TCP, a length prefix precedes each message (RFC 1035, 4.2.2).
constexpr std::size_t kLengthPrefixBytes = 2;
constexpr int kBitsPerByte = 8;

std::string EncodeLengthPrefix(std::size_t size) {
  return {static_cast<char>(size >> kBitsPerByte), static_cast<char>(size)};
}

std::size_t DecodeLengthPrefix(const std::string& bytes) {
  const auto high_byte = static_cast<unsigned char>(bytes[0]);
  const auto low_byte = static_cast<unsigned char>(bytes[1]);
  return (static_cast<std::size_t>(high_byte) << kBitsPerByte) | low_byte;
}

std::optional<std::uint32_t> KnownSerial(const dnssd::Transmission& transmission) {
  if (transmission.question.type != dnssd::RecordType::kIxfr) return std::nullopt;
  return transmission.serial.value_or(0);
}

}  // namespace

DnsTransaction::DnsTransaction(asio::io_context& io, DnsTransactionCounters& counters,
                               const dnssd::Transmission& transmission, OnDone on_done)
    : counters_(counters),
      transmission_(transmission),
      on_done_(std::move(on_done)),
      id_(ldns_get_random()),
      udp_socket_(io),
      tcp_socket_(io),
      timer_(io),
      transfer_end_(KnownSerial(transmission)),
      encoded_query_(dnssd::EncodeQuery(id_, transmission.question, transmission.serial)) {}

void DnsTransaction::Start(const tcp::endpoint& resolver, asio::steady_timer::time_point deadline) {
  timer_.expires_at(deadline);
  timer_.async_wait([self = shared_from_this()](std::error_code error) {
    if (!error) self->Fail(QueryError::kTimeout);
  });
  if (transmission_.transport == dnssd::Transport::kUdp)
    StartUdp(resolver);
  else
    StartTcp(resolver);
}

void DnsTransaction::Cancel() {
  on_done_ = nullptr;
  Close();
}

void DnsTransaction::Succeed() {
  Close();
  if (const OnDone on_done = std::exchange(on_done_, nullptr)) on_done(std::move(messages_), std::nullopt);
}

void DnsTransaction::Fail(QueryError error) {
  Close();
  if (const OnDone on_done = std::exchange(on_done_, nullptr)) on_done({}, error);
}

void DnsTransaction::Close() {
  timer_.cancel();
  std::error_code ignored;
  udp_socket_.close(ignored);
  tcp_socket_.close(ignored);
}

std::optional<dnssd::Message> DnsTransaction::ParseResponse(std::string_view bytes) {
  std::optional<dnssd::Message> message = dnssd::ParseMessage(bytes);
  if (!message) {
    ++counters_.malformed;
    return std::nullopt;
  }
  // Later messages of a transfer may omit the question (RFC 5936, 2.2.1).
  const bool continues_transfer = !messages_.empty() && !message->question;
  const bool same_question = continues_transfer || message->question == transmission_.question;
  if (message->response && message->id == id_ && same_question) return message;
  ++counters_.unsolicited;
  return std::nullopt;
}

// ---- UDP

void DnsTransaction::StartUdp(const tcp::endpoint& resolver) {
  std::error_code error;
  const udp::endpoint destination(resolver.address(), resolver.port());
  udp_socket_.open(destination.protocol(), error);
  // A connected socket receives datagrams only from the resolver. The kernel chooses a random source port.
  if (!error) udp_socket_.connect(destination, error);
  if (!error) udp_socket_.send(asio::buffer(encoded_query_), 0, error);
  if (error) {
    asio::post(timer_.get_executor(), [self = shared_from_this()] { self->Fail(QueryError::kUnreachable); });
    return;
  }
  receive_buffer_.resize(kMaxDatagramBytes);
  ReadDatagram();
}

void DnsTransaction::ReadDatagram() {
  udp_socket_.async_receive(asio::buffer(receive_buffer_),
                            [self = shared_from_this()](std::error_code error, std::size_t size) {
                              if (!self->on_done_) return;
                              if (error) return self->Fail(QueryError::kUnreachable);
                              self->OnDatagram(std::string_view(self->receive_buffer_).substr(0, size));
                            });
}

void DnsTransaction::OnDatagram(std::string_view bytes) {
  if (std::optional<dnssd::Message> message = ParseResponse(bytes)) {
    messages_.push_back(std::move(*message));
    return Succeed();
  }
  ++ignored_datagrams_;
  if (ignored_datagrams_ >= kMaxIgnoredDatagrams) return Fail(QueryError::kMalformed);
  ReadDatagram();
}

// ---- TCP

void DnsTransaction::StartTcp(const tcp::endpoint& resolver) {
  tcp_socket_.async_connect(resolver, [self = shared_from_this()](std::error_code error) {
    if (!self->on_done_) return;
    if (error) return self->Fail(QueryError::kUnreachable);
    self->SendOverTcp();
    self->ReadLengthPrefix();
  });
}

void DnsTransaction::SendOverTcp() {
  encoded_query_.insert(0, EncodeLengthPrefix(encoded_query_.size()));
  asio::async_write(tcp_socket_, asio::buffer(encoded_query_),
                    [self = shared_from_this()](std::error_code error, std::size_t) {
                      if (error && self->on_done_) self->Fail(QueryError::kUnreachable);
                    });
}

void DnsTransaction::ReadLengthPrefix() {
  receive_buffer_.resize(kLengthPrefixBytes);
  asio::async_read(
      tcp_socket_, asio::buffer(receive_buffer_),
      [self = shared_from_this()](std::error_code error, std::size_t) {
        if (!self->on_done_) return;
        const bool response_started = !self->messages_.empty();
        if (error) return self->Fail(response_started ? QueryError::kMalformed : QueryError::kUnreachable);
        self->ReadTcpMessage(DecodeLengthPrefix(self->receive_buffer_));
      });
}

void DnsTransaction::ReadTcpMessage(std::size_t size) {
  receive_buffer_.resize(size);
  tcp_bytes_received_ += size;
  if (tcp_bytes_received_ > kMaxTcpResponseBytes) return Fail(QueryError::kMalformed);
  asio::async_read(tcp_socket_, asio::buffer(receive_buffer_),
                   [self = shared_from_this()](std::error_code error, std::size_t) {
                     if (!self->on_done_) return;
                     if (error) return self->Fail(QueryError::kMalformed);
                     self->OnTcpMessage();
                   });
}

void DnsTransaction::OnTcpMessage() {
  std::optional<dnssd::Message> message = ParseResponse(receive_buffer_);
  if (!message) return Fail(QueryError::kMalformed);
  const bool complete = !dnssd::IsTransfer(transmission_.question.type) ||
                        message->rcode != static_cast<int>(dnssd::Rcode::kNoError) ||
                        transfer_end_.Feed(*message);
  messages_.push_back(std::move(*message));
  if (complete) return Succeed();
  ReadLengthPrefix();
}

}  // namespace tulipyoke::discovery
