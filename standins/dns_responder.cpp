#include "standins/dns_responder.hpp"

#include <stdexcept>
#include <string_view>
#include <utility>

namespace tulipyoke::standins {

using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr int kMaxBindAttempts = 20;
constexpr std::size_t kLengthBytes = 2;  // before each message over TCP

std::string WithLength(const std::string& message) {
  const std::string length{static_cast<char>(message.size() >> 8), static_cast<char>(message.size())};
  return length + message;
}

std::size_t DecodeLength(const std::string& bytes) {
  const auto high = static_cast<unsigned char>(bytes[0]);
  const auto low = static_cast<unsigned char>(bytes[1]);
  return static_cast<std::size_t>(high) << 8 | low;
}

}  // namespace

struct DnsResponder::Connection {
  explicit Connection(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::string received;
  std::string response;
};

DnsResponder::DnsResponder(Loop& loop, const std::string& zone, const std::string& service)
    : loop_(loop), zone_(zone, service), udp_socket_(loop.io()), acceptor_(loop.io()) {
  // One port for both protocols: another one is tried where UDP has it in use.
  for (int attempt = 0;; ++attempt) {
    std::error_code error;
    acceptor_ = tcp::acceptor(loop.io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    port_ = acceptor_.local_endpoint().port();
    udp_socket_ = udp::socket(loop.io());
    udp_socket_.open(udp::v4());
    udp_socket_.bind(udp::endpoint(asio::ip::address_v4::loopback(), port_), error);
    if (!error) break;
    if (attempt > kMaxBindAttempts) throw std::runtime_error("no port for the responder");
  }
  loop_.Do([this] {
    ReadDatagram();
    Accept();
  });
}

DnsResponder::~DnsResponder() {
  std::error_code ignored;
  udp_socket_.close(ignored);
  acceptor_.close(ignored);
  for (const auto& connection : connections_) connection->socket.close(ignored);
}

void DnsResponder::Publish(const std::vector<Published>& servers) {
  loop_.Do([&] { zone_.Publish(servers); });
}
void DnsResponder::Withdraw(const std::vector<std::string>& labels) {
  loop_.Do([&] { zone_.Withdraw(labels); });
}
void DnsResponder::WithdrawAll() {
  loop_.Do([&] { zone_.WithdrawAll(); });
}
void DnsResponder::AddRecord(const std::string& record) {
  loop_.Do([&] { zone_.AddRecord(record); });
}
void DnsResponder::Freeze(bool frozen) {
  loop_.Do([&] { zone_.Freeze(frozen); });
}
void DnsResponder::SetSerial(std::uint32_t serial) {
  loop_.Do([&] { zone_.SetSerial(serial); });
}
void DnsResponder::SetFault(DnsFault fault) {
  loop_.Do([&] { zone_.SetFault(fault); });
}
void DnsResponder::SetAdditional(bool on) {
  loop_.Do([&] { zone_.SetAdditional(on); });
}
std::vector<ReceivedQuery> DnsResponder::queries() {
  return loop_.Do([&] { return zone_.queries(); });
}
std::uint32_t DnsResponder::serial() {
  return loop_.Do([&] { return zone_.serial(); });
}

void DnsResponder::Register(Script& script) {
  using Json = nlohmann::json;
  script.On("publish", [this](const Json& step) {
    std::vector<Published> servers;
    for (const Json& item : step.at("servers")) {
      servers.push_back({item.at("label"), item.value("address", "127.0.0.1"), item.at("port"),
                         item.value("text", std::vector<std::string>()), item.value("ttl", 10u), ""});
    }
    zone_.Publish(servers);
  });
  script.On("withdraw", [this](const Json& step) { zone_.Withdraw(step.at("labels")); });
  script.On("silent", [this](const Json&) { zone_.SetFault(DnsFault::kSilent); });
  script.On("servfail", [this](const Json&) { zone_.SetFault(DnsFault::kServFail); });
  script.On("well", [this](const Json&) { zone_.SetFault(DnsFault::kNone); });
}

void DnsResponder::ReadDatagram() {
  const auto on_datagram = [this](std::error_code error, std::size_t size) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      const std::string_view query(datagram_.data(), size);
      for (const std::string& message : zone_.Answer(Loop::Now(), query, false)) {
        std::error_code ignored;
        udp_socket_.send_to(asio::buffer(message), sender_, 0, ignored);
      }
    }
    ReadDatagram();
  };
  udp_socket_.async_receive_from(asio::buffer(datagram_), sender_, on_datagram);
}

void DnsResponder::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    const auto connection = std::make_shared<Connection>(std::move(socket));
    connections_.insert(connection);
    ReadLength(connection);
    Accept();
  });
}

void DnsResponder::ReadLength(const std::shared_ptr<Connection>& connection) {
  connection->received.resize(kLengthBytes);
  asio::async_read(connection->socket, asio::buffer(connection->received),
                   [this, connection](std::error_code error, std::size_t) {
                     if (error) return static_cast<void>(connections_.erase(connection));
                     connection->received.resize(DecodeLength(connection->received));
                     ReadQuery(connection);
                   });
}

void DnsResponder::ReadQuery(const std::shared_ptr<Connection>& connection) {
  asio::async_read(connection->socket, asio::buffer(connection->received),
                   [this, connection](std::error_code error, std::size_t) {
                     if (error) return static_cast<void>(connections_.erase(connection));
                     SendAnswer(connection);
                   });
}

void DnsResponder::SendAnswer(const std::shared_ptr<Connection>& connection) {
  connection->response.clear();
  for (const std::string& message : zone_.Answer(Loop::Now(), connection->received, true)) {
    connection->response += WithLength(message);
  }
  asio::async_write(connection->socket, asio::buffer(connection->response),
                    [this, connection](std::error_code error, std::size_t) {
                      if (error) return static_cast<void>(connections_.erase(connection));
                      ReadLength(connection);
                    });
}

}  // namespace tulipyoke::standins
