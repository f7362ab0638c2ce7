#include "src/net/dns_socket.hpp"

#include <array>
#include <utility>

#include "src/dnssd/ldns_handles.hpp"

namespace tulipyoke::net {
namespace {

using asio::ip::tcp;
using asio::ip::udp;
using dnssd::Trouble;

// Whoever sends so many wrong answers means harm, or the resolver is broken: the question ends.
constexpr int kMostStrays = 64;
// All of an answer over TCP; 12,000 instances are well under it.
constexpr std::size_t kLargestStream = std::size_t{16} << 20;

bool IsTransfer(dnssd::RecordType type) {
  return type == dnssd::RecordType::kIxfr || type == dnssd::RecordType::kAxfr;
}

}  // namespace

DnsExchange::DnsExchange(asio::io_context& io, DnsSocketCounters& counters,
                         const dnssd::Transmission& transmission, Done done)
    : counters_(counters),
      transmission_(transmission),
      done_(std::move(done)),
      id_(ldns_get_random()),
      datagrams_(io),
      stream_(io),
      timer_(io),
      transfer_(transmission.question.type == dnssd::RecordType::kIxfr ? std::optional(transmission.serial)
                                                                       : std::nullopt),
      out_(dnssd::WriteQuery(id_, transmission.question, transmission.serial)) {}

void DnsExchange::Start(const tcp::endpoint& resolver, asio::steady_timer::time_point give_up) {
  timer_.expires_at(give_up);
  timer_.async_wait([self = shared_from_this()](std::error_code error) {
    if (!error) self->End(Trouble::kTimeout);
  });
  if (transmission_.transport == dnssd::Transport::kDatagram)
    StartDatagram(resolver);
  else
    StartStream(resolver);
}

void DnsExchange::Drop() {
  done_ = nullptr;
  End(Trouble::kTimeout);
}

void DnsExchange::End(Trouble trouble) {
  timer_.cancel();
  std::error_code ignored;
  datagrams_.close(ignored);
  stream_.close(ignored);
  if (const Done done = std::exchange(done_, nullptr)) {
    done(trouble == Trouble::kNone ? std::move(messages_) : std::vector<dnssd::Message>(), trouble);
  }
}

std::optional<dnssd::Message> DnsExchange::Answer(std::string_view bytes) {
  std::optional<dnssd::Message> message = dnssd::ReadMessage(bytes);
  if (!message) {
    ++counters_.unreadable;
    return std::nullopt;
  }
  // Later messages of a transfer may leave the question out (RFC 5936, 2.2.1).
  const bool later = !messages_.empty() && !message->question;
  const bool asked = later || message->question == transmission_.question;
  if (message->response && message->id == id_ && asked) return message;
  ++counters_.strays;
  return std::nullopt;
}

void DnsExchange::StartDatagram(const tcp::endpoint& resolver) {
  std::error_code error;
  const udp::endpoint to(resolver.address(), resolver.port());
  datagrams_.open(to.protocol(), error);
  // Connected, so that the kernel passes on what that resolver sends and nothing else. The kernel picks a
  // random port.
  if (!error) datagrams_.connect(to, error);
  if (!error) datagrams_.send(asio::buffer(out_), 0, error);
  if (error) {
    // Not from within the call that starts it.
    asio::post(timer_.get_executor(), [self = shared_from_this()] { self->End(Trouble::kUnreachable); });
    return;
  }
  in_.resize(std::size_t{64} << 10);
  ReadDatagram();
}

void DnsExchange::ReadDatagram() {
  datagrams_.async_receive(asio::buffer(in_),
                           [self = shared_from_this()](std::error_code error, std::size_t size) {
                             if (!self->done_) return;
                             if (error) return self->End(Trouble::kUnreachable);
                             if (auto message = self->Answer(std::string_view(self->in_).substr(0, size))) {
                               self->messages_.push_back(std::move(*message));
                               return self->End(Trouble::kNone);
                             }
                             if (++self->strays_ >= kMostStrays) return self->End(Trouble::kSpoilt);
                             self->ReadDatagram();
                           });
}

void DnsExchange::StartStream(const tcp::endpoint& resolver) {
  stream_.async_connect(resolver, [self = shared_from_this()](std::error_code error) {
    if (!self->done_) return;
    if (error) return self->End(Trouble::kUnreachable);
    const auto size = static_cast<std::uint16_t>(self->out_.size());
    self->out_.insert(0, {static_cast<char>(size >> 8), static_cast<char>(size & 0xff)});
    asio::async_write(self->stream_, asio::buffer(self->out_), [self](std::error_code failed, std::size_t) {
      if (failed && self->done_) self->End(Trouble::kUnreachable);
    });
    self->ReadSize();
  });
}

void DnsExchange::ReadSize() {
  in_.resize(2);
  asio::async_read(
      stream_, asio::buffer(in_), [self = shared_from_this()](std::error_code error, std::size_t) {
        if (!self->done_) return;
        if (error) return self->End(self->messages_.empty() ? Trouble::kUnreachable : Trouble::kSpoilt);
        self->ReadBody((static_cast<std::size_t>(static_cast<unsigned char>(self->in_[0])) << 8) |
                       static_cast<unsigned char>(self->in_[1]));
      });
}

void DnsExchange::ReadBody(std::size_t size) {
  in_.resize(size);
  received_ += size;
  if (received_ > kLargestStream) return End(Trouble::kSpoilt);
  asio::async_read(stream_, asio::buffer(in_),
                   [self = shared_from_this()](std::error_code error, std::size_t) {
                     if (!self->done_) return;
                     if (error) return self->End(Trouble::kSpoilt);
                     auto message = self->Answer(self->in_);
                     if (!message) return self->End(Trouble::kSpoilt);
                     const bool whole = !IsTransfer(self->transmission_.question.type) ||
                                        message->rcode != static_cast<int>(dnssd::Rcode::kNoError) ||
                                        self->transfer_.Feed(*message);
                     self->messages_.push_back(std::move(*message));
                     if (whole) return self->End(Trouble::kNone);
                     self->ReadSize();
                   });
}

}  // namespace tulipyoke::net
