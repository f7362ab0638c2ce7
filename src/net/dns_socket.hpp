// One question on the wire: over UDP from a socket and a source port of its own (RFC 5452, 9.2), or over TCP
// (RFC 7766). What is no answer to it, by id, question or sender, is passed over.
#ifndef TULIPYOKE_SRC_NET_DNS_SOCKET_HPP_
#define TULIPYOKE_SRC_NET_DNS_SOCKET_HPP_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/dnssd/retries.hpp"
#include "src/dnssd/zone_copy.hpp"

namespace tulipyoke::net {

struct DnsSocketCounters {
  std::uint64_t strays = 0;  // messages that answer no open question
  std::uint64_t unreadable = 0;
};

// `done` comes once, unless the exchange is dropped before: messages, or a trouble without any.
class DnsExchange : public std::enable_shared_from_this<DnsExchange> {
 public:
  using Done = std::function<void(std::vector<dnssd::Message>, dnssd::Trouble)>;

  DnsExchange(asio::io_context& io, DnsSocketCounters& counters, const dnssd::Transmission& transmission,
              Done done);
  void Start(const asio::ip::tcp::endpoint& resolver, asio::steady_timer::time_point give_up);
  void Drop();

 private:
  void StartDatagram(const asio::ip::tcp::endpoint& resolver);
  void StartStream(const asio::ip::tcp::endpoint& resolver);
  void ReadDatagram();
  void ReadSize();
  void ReadBody(std::size_t size);
  // Nothing: it is not the answer.
  std::optional<dnssd::Message> Answer(std::string_view bytes);
  void End(dnssd::Trouble trouble);

  DnsSocketCounters& counters_;
  dnssd::Transmission transmission_;
  Done done_;
  std::uint16_t id_;
  asio::ip::udp::socket datagrams_;
  asio::ip::tcp::socket stream_;
  asio::steady_timer timer_;
  dnssd::TransferEnd transfer_;
  std::string out_, in_;
  std::size_t received_ = 0;
  int strays_ = 0;
  std::vector<dnssd::Message> messages_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_DNS_SOCKET_HPP_
