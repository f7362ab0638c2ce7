// A DNS-SD zone and how its server answers, right or wrong: bytes in, bytes out, no sockets and no clock of
// its own. Messages are made by ldns from the public specifications (RFC 1035, 1995, 5936, 6763, 6891).
#ifndef TULIPYOKE_STANDINS_DNS_ZONE_HPP_
#define TULIPYOKE_STANDINS_DNS_ZONE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/dnssd/ldns_handles.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::standins {

// What it does wrong, until told otherwise.
enum class DnsFault {
  kNone,
  kSilent,
  kServFail,
  kRefused,
  kWrongId,
  kWrongQuestion,
  kGarbage,          // no message at all
  kLyingCount,       // more records announced than there are
  kLoop,             // a compression pointer to itself
  kNoAuthority,      // an empty answer that nobody stands behind
  kAlwaysTruncated,  // also over TCP
  kNoTransfer,       // transfers refused, the rest as ever
};

// One server's records.
struct Published {
  std::string label;  // the instance's, in presentation form
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::vector<std::string> text;  // key=value
  std::uint32_t ttl = 10;
  std::string host;  // empty: made from the port and address
};

struct DnsAsked {
  Micros when = 0;
  std::string name, type;
  bool stream = false;
  std::uint32_t serial = 0;  // of the answer
};

class DnsZone {
 public:
  explicit DnsZone(const std::string& zone, const std::string& service = "_readings._tcp");

  // Each change counts the serial up once and can be taken by an incremental transfer.
  void Publish(const std::vector<Published>& servers);
  void Withdraw(const std::vector<std::string>& labels);
  void WithdrawAll();
  // A record in presentation form, as it stands.
  void AddRecord(const std::string& record) { Change({}, {record}); }
  // From now on it answers from the zone as it is at this moment, whatever is changed.
  void Freeze(bool frozen);
  void SetSerial(std::uint32_t serial);
  void SetFault(DnsFault fault) { fault_ = fault; }
  // Additional records behind PTR answers, as RFC 6763, 12.1 wants them.
  void SetAdditional(bool on) { additional_ = on; }
  std::uint32_t serial() const { return serial_; }
  const std::vector<DnsAsked>& asked() const { return asked_; }

  // The bytes of the answer; none: it stays silent. A transfer has several messages.
  std::vector<std::string> Answer(Micros now, std::string_view query, bool stream);

 private:
  // By name and type in lower case; the records as text.
  using Zone = std::map<std::string, std::set<std::string>>;
  struct Difference {
    std::uint32_t from = 0, to = 0;
    std::vector<std::string> gone, come;
  };

  std::vector<std::string> RecordsOf(const Published& server) const;
  void Change(std::vector<std::string> gone, std::vector<std::string> come);
  std::string Soa(std::uint32_t serial) const;
  const Zone& shown() const { return frozen_ ? *frozen_ : zone_; }
  std::uint32_t shown_serial() const { return frozen_ ? frozen_serial_ : serial_; }
  bool HasName(const std::string& name) const;
  std::vector<std::string> Transfer(ldns_pkt* query, ldns_rr* question);

  std::string zone_name_, service_;
  Zone zone_;
  std::map<std::string, int> holders_;  // of each record
  std::map<std::string, std::vector<std::string>> by_label_;
  std::uint32_t serial_ = 1, frozen_serial_ = 0;
  std::unique_ptr<Zone> frozen_;
  std::deque<Difference> differences_;
  DnsFault fault_ = DnsFault::kNone;
  bool additional_ = false;
  std::vector<DnsAsked> asked_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_DNS_ZONE_HPP_
