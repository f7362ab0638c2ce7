// One DNS query on the wire: over UDP from a socket and source port of its own (RFC 5452, 9.2), or over TCP
// (RFC 7766).
#ifndef TULIPYOKE_SRC_DISCOVERY_DNS_TRANSACTION_HPP_
#define TULIPYOKE_SRC_DISCOVERY_DNS_TRANSACTION_HPP_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/dnssd/query.hpp"
#include "src/dnssd/transfer_end.hpp"

namespace tulipyoke::discovery {

struct DnsTransactionCounters {
  std::uint64_t unsolicited = 0;  // messages that answer no open query
  std::uint64_t malformed = 0;
};

// Sends one transmission and waits for its response. Messages that are no response to it, by id or question,
// are ignored over UDP and end the transaction over TCP. Runs in the thread of `io`; it keeps itself alive
// until it is done or cancelled.
class DnsTransaction : public std::enable_shared_from_this<DnsTransaction> {
 public:
  // The messages of the response, or an error and no messages.
  using OnDone = std::function<void(std::vector<dnssd::Message>, std::optional<dnssd::QueryError>)>;

  // `counters` must outlive the transaction. `on_done` is called once, never from within Start().
  DnsTransaction(asio::io_context& io, DnsTransactionCounters& counters,
                 const dnssd::Transmission& transmission, OnDone on_done);
  void Start(const asio::ip::tcp::endpoint& resolver, asio::steady_timer::time_point deadline);
  // Ends the transaction; `on_done` is not called.
  void Cancel();

 private:
  void StartUdp(const asio::ip::tcp::endpoint& resolver);
  void ReadDatagram();
  void OnDatagram(std::string_view bytes);

  void StartTcp(const asio::ip::tcp::endpoint& resolver);
  void SendOverTcp();
  void ReadLength();
  void ReadMessage(std::size_t size);
  void OnStreamMessage();

  // Parses a message; none: it does not answer the query.
  std::optional<dnssd::Message> ParseResponse(std::string_view bytes);
  void Succeed();
  void Fail(dnssd::QueryError error);
  void Close();

  DnsTransactionCounters& counters_;
  dnssd::Transmission transmission_;
  OnDone on_done_;  // null: the transaction is over
  std::uint16_t id_;
  asio::ip::udp::socket udp_socket_;
  asio::ip::tcp::socket tcp_socket_;
  asio::steady_timer timer_;
  dnssd::TransferEndDetector transfer_end_;
  std::string request_;
  std::string buffer_;              // of what is being received
  std::size_t received_bytes_ = 0;  // over TCP
  int ignored_datagrams_ = 0;
  std::vector<dnssd::Message> messages_;  // of the response so far
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_DNS_TRANSACTION_HPP_
