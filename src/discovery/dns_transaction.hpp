// Sends one DNS query, either over UDP from its own socket and source port (RFC 5452, 9.2) or over TCP
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
  std::uint64_t unsolicited = 0;  // messages that do not answer the query
  std::uint64_t malformed = 0;
};

// Sends one transmission and waits for its response. A message whose id or question does not match is ignored
// over UDP, up to a limit, and fails the transaction over TCP. Must be used on the thread that runs `io`. The
// object keeps itself alive until the transaction ends or is cancelled.
class DnsTransaction : public std::enable_shared_from_this<DnsTransaction> {
 public:
  // Receives the messages of the response, or no messages and an error.
  using OnDone = std::function<void(std::vector<dnssd::Message>, std::optional<dnssd::QueryError>)>;

  // `counters` must outlive the transaction. `on_done` is called at most once, and never from within Start().
  DnsTransaction(asio::io_context& io, DnsTransactionCounters& counters,
                 const dnssd::Transmission& transmission, OnDone on_done);
  void Start(const asio::ip::tcp::endpoint& resolver, asio::steady_timer::time_point deadline);
  // Ends the transaction without calling `on_done`.
  void Cancel();

 private:
  void StartUdp(const asio::ip::tcp::endpoint& resolver);
  void ReadDatagram();
  void OnDatagram(std::string_view bytes);

  void StartTcp(const asio::ip::tcp::endpoint& resolver);
  void SendOverTcp();
  void ReadLengthPrefix();
  void ReadTcpMessage(std::size_t size);
  void OnTcpMessage();

  // Parses a message. Returns nothing if the message is malformed or does not answer the query.
  std::optional<dnssd::Message> ParseResponse(std::string_view bytes);
  void Succeed();
  void Fail(dnssd::QueryError error);
  void Close();

  DnsTransactionCounters& counters_;
  dnssd::Transmission transmission_;
  OnDone on_done_;  // null after the transaction has ended
  std::uint16_t id_;
  asio::ip::udp::socket udp_socket_;
  asio::ip::tcp::socket tcp_socket_;
  asio::steady_timer timer_;
  dnssd::TransferEndDetector transfer_end_;
  std::string encoded_query_;
  std::string receive_buffer_;          // the message or length prefix being received
  std::size_t tcp_bytes_received_ = 0;  // size of the messages received over TCP
  int ignored_datagrams_ = 0;
  std::vector<dnssd::Message> messages_;  // the messages of the response received so far
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_DNS_TRANSACTION_HPP_
