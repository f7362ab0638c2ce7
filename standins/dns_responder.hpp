// A DNS name server on loopback: one DNS-SD zone over UDP and TCP. A script of timed steps may drive it.
#ifndef TULIPYOKE_STANDINS_DNS_RESPONDER_HPP_
#define TULIPYOKE_STANDINS_DNS_RESPONDER_HPP_

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "standins/dns_zone.hpp"
#include "standins/loop.hpp"

namespace tulipyoke::standins {

class DnsResponder {
 public:
  static constexpr std::size_t kMaxDatagramBytes = 65536;

  DnsResponder(Loop& loop, const std::string& zone, const std::string& service = "_readings._tcp");
  ~DnsResponder();
  DnsResponder(const DnsResponder&) = delete;
  DnsResponder& operator=(const DnsResponder&) = delete;

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // The operations of the zone, from any thread.
  void Publish(const std::vector<Published>& servers);
  void Withdraw(const std::vector<std::string>& labels);
  void WithdrawAll();
  void AddRecord(const std::string& record);
  void Freeze(bool frozen);
  void SetSerial(std::uint32_t serial);
  void SetFault(DnsFault fault);
  void SetAdditional(bool on);
  std::vector<ReceivedQuery> queries();
  std::uint32_t serial();
  // Adds the script commands publish, withdraw, silent, servfail and well.
  void Register(Script& script);

 private:
  struct Connection;
  void ReadDatagram();
  void Accept();
  void ReadLength(const std::shared_ptr<Connection>& connection);
  void ReadQuery(const std::shared_ptr<Connection>& connection);
  void SendAnswer(const std::shared_ptr<Connection>& connection);

  Loop& loop_;
  DnsZone zone_;
  asio::ip::udp::socket udp_socket_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::array<char, kMaxDatagramBytes> datagram_{};
  asio::ip::udp::endpoint sender_;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_DNS_RESPONDER_HPP_
