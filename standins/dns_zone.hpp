// A DNS-SD zone and its name server, which answers correctly or with a fault: bytes in, bytes out, no sockets
// and no clock. Messages are made by ldns according to RFC 1035, 1995, 5936, 6763 and 6891.
#ifndef TULIPYOKE_STANDINS_DNS_ZONE_HPP_
#define TULIPYOKE_STANDINS_DNS_ZONE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/dnssd/ldns_handles.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::standins {

// What the name server does wrong until another fault is set.
enum class DnsFault {
  kNone,
  kSilent,
  kServFail,
  kRefused,
  kWrongId,
  kWrongQuestion,
  kGarbage,          // bytes that are no message
  kLyingCount,       // more records announced than present
  kLoop,             // a compression pointer that points at itself
  kNoAuthority,      // an empty answer without authority
  kAlwaysTruncated,  // also over TCP
  kNoTransfer,       // transfers are refused
};

// The records of one server.
struct Published {
  std::string label;  // of the instance, in presentation form
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::vector<std::string> text;  // key=value
  std::uint32_t ttl = 10;         // seconds
  std::string host;               // empty: derived from port and address
};

// A query that has arrived.
struct ReceivedQuery {
  Micros when = 0;
  std::string name;
  std::string type;
  bool tcp = false;
  std::uint32_t serial = 0;  // of the zone at that time, as answered
};

class DnsZone {
 public:
  explicit DnsZone(const std::string& zone, const std::string& service = "_readings._tcp");

  // Each change increments the serial once and can be transferred incrementally. Labels are distinct.
  void Publish(const std::vector<Published>& servers);
  void Withdraw(const std::vector<std::string>& labels);
  void WithdrawAll();
  // A record in presentation form.
  void AddRecord(const std::string& record) { Change({}, {record}); }
  // While frozen, it answers from the zone as it was when this was called.
  void Freeze(bool frozen);
  void SetSerial(std::uint32_t serial);
  void SetFault(DnsFault fault) { fault_ = fault; }
  // Whether PTR answers have the additional records of RFC 6763, 12.1.
  void SetAdditional(bool on) { additional_ = on; }
  std::uint32_t serial() const { return serial_; }
  const std::vector<ReceivedQuery>& queries() const { return queries_; }

  // The messages of the response to a query, several for a transfer; none: there is no response.
  std::vector<std::string> Answer(Micros now, std::string_view bytes, bool tcp);

 private:
  // Records in presentation form, by lower-case name and type with a space between.
  using Records = std::map<std::string, std::set<std::string>>;
  struct Difference {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::vector<std::string> deleted;
    std::vector<std::string> added;
  };
  struct QueryView {
    ldns_pkt* packet = nullptr;
    ldns_rr* question = nullptr;
    std::string name;
    std::string type;
    bool tcp = false;
  };

  std::vector<std::string> RecordsOf(const Published& server) const;
  void Change(std::vector<std::string> deleted, std::vector<std::string> added);
  std::string Soa(std::uint32_t serial) const;
  const Records& visible() const { return frozen_ ? *frozen_ : records_; }
  std::uint32_t visible_serial() const { return frozen_ ? frozen_serial_ : serial_; }
  bool HasName(const std::string& name) const;
  std::string AnswerQuestion(const QueryView& query) const;
  void AddSections(ldns_pkt* answer, const QueryView& query) const;
  std::string Corrupt(std::string bytes) const;
  std::vector<std::string> Transfer(const QueryView& query) const;
  // The records between the SOAs of an IXFR from that serial; none: only a complete transfer will do.
  std::optional<std::vector<std::string>> DifferencesSince(std::uint32_t serial) const;

  std::string zone_name_;
  std::string service_;
  Records records_;
  std::map<std::string, int> owner_counts_;  // of each record: the instances that share it
  std::map<std::string, std::vector<std::string>> by_label_;
  std::uint32_t serial_ = 1;
  std::uint32_t frozen_serial_ = 0;
  std::unique_ptr<Records> frozen_;
  std::deque<Difference> differences_;
  DnsFault fault_ = DnsFault::kNone;
  bool additional_ = false;
  std::vector<ReceivedQuery> queries_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_DNS_ZONE_HPP_
