// The browser of one service in one zone (RFC 6763): PTR to instances, SRV, TXT and A/AAAA to addresses, and
// a look at the zone's serial, so that an answer from an old copy is told from news. No I/O: what it wants
// asked goes out as Asks, answers come in, and a EndpointList of what changed comes out. Times are
// microseconds.
#ifndef TULIPYOKE_SRC_DNSSD_BROWSER_HPP_
#define TULIPYOKE_SRC_DNSSD_BROWSER_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/dnssd/instance.hpp"
#include "src/dnssd/message.hpp"
#include "src/dnssd/retries.hpp"
#include "src/dnssd/zone_copy.hpp"

namespace tulipyoke::dnssd {

// How a change of the list is noticed.
enum class Mode {
  kPoll,      // the PTR records are asked for at every look
  kSerial,    // the SOA at every look, and everything anew when its serial has moved
  kTransfer,  // the same, but what changed comes as one incremental transfer (RFC 1995, 5936)
};
std::optional<Mode> ModeFrom(const std::string& text);

struct ZoneOptions {
  std::string service = "_readings._tcp";
  std::string zone;  // derby.example.org
  std::string site;  // of servers whose TXT names none
  Mode mode = Mode::kPoll;
  Micros look = 500'000;             // between two looks
  double refresh_fraction = 0.8;     // of a record's time to live, after which it is asked for again
  Micros least_refresh = 1'000'000;  // whatever a time to live says
  Micros most_refresh = 3'600'000'000;
  Micros retry = 1'000'000;  // after a question that nobody answered
  std::size_t most_instances = 12'000;
  std::size_t most_asks = 24;         // out at the same time
  std::vector<AddressBlock> allowed;  // empty: any unicast address
};

struct Ask {
  AskId id = 0;
  Question question;
  std::optional<std::size_t> at;  // that resolver's word only
  std::uint32_t serial = 0;
};

struct BrowserCounters {
  std::uint64_t looks = 0, told = 0;                           // looks begun; lists believed
  std::uint64_t old_copies = 0, no_authority = 0, failed = 0;  // answers that tell nothing, and no answers
  std::uint64_t bad_records = 0;                               // of instances, not used
  std::uint64_t over = 0;                                      // lists with more instances than are held
  std::uint64_t transfers = 0, transfers_refused = 0;
};

// A line for the log: said once for each cause until it has been well again.
struct Remark {
  std::string event, text;
};

struct InstanceView {
  Name name;
  std::string label;
  ListedServer listed;
  bool usable = false;
  std::string version, trouble;  // trouble: why it is not used, or the last good word is kept
};

class ZoneBrowser {
 public:
  explicit ZoneBrowser(const ZoneOptions& options);

  void Tick(Micros now);
  // The end of an Ask; `settled.ask` is its id.
  void Settle(Micros now, const Settled& settled);
  std::vector<Ask> TakeAsks() { return std::exchange(asks_, {}); }
  // Resolvers that answered from an old copy.
  std::vector<std::size_t> TakeDistrusted() { return std::exchange(distrusted_, {}); }
  // The changes since the last call; the first one is the whole list, as soon as one has been told.
  std::optional<EndpointList> TakeListing();
  std::vector<Remark> TakeRemarks() { return std::exchange(remarks_, {}); }
  Micros NextDue() const;

  const BrowserCounters& counters() const { return counters_; }
  std::vector<InstanceView> View() const;
  std::optional<std::uint32_t> serial() const { return serial_; }
  std::size_t instances() const { return instances_.size(); }
  const ZoneOptions& options() const { return options_; }

 private:
  // A set of records of one name and type: asked for, refreshed, and kept where nobody answers.
  struct Fetch {
    Micros due = 0;
    bool known = false;  // told, be it that there is none
  };
  struct Instance {
    std::string label;
    Fetch srv, txt;
    std::optional<ServiceData> service;
    std::optional<Attributes> attributes;
    std::string trouble;
    bool service_bad = false, text_bad = false;
    std::optional<ListedServer> told;  // as the last EndpointList had it
  };
  struct Host {
    Fetch a, aaaa;
    std::vector<std::string> a_addresses, aaaa_addresses;
    std::set<Name> users;
  };
  struct Wanted {
    Question question;
    std::optional<std::size_t> at;
    std::uint32_t serial = 0;
  };

  bool Authoritative(const Message& message) const;
  static std::optional<std::uint32_t> SerialIn(const std::vector<Record>& records, const Name& apex);
  void BeginLook();
  // `good`: what there was to learn has been learnt.
  void EndLook(Micros now, bool good);
  // A look that learnt nothing, for that reason.
  void NothingTold(Micros now, const std::string& event, const std::string& why);
  void OldCopy(Micros now, std::size_t resolver, std::uint32_t serial);
  void AskPointers();
  void SettleSoa(Micros now, const Settled& settled);
  void SettlePointers(Micros now, const Settled& settled);
  void SettleTransfer(Micros now, const Settled& settled);
  void SettleSet(Micros now, const Question& question, const Settled& settled);
  // The whole set of instances, told by whoever has the word on the zone.
  void Believe(Micros now, const std::vector<Record>& pointers);
  // The records of one name and type; none: told that there are none.
  void TakeSet(Micros now, const Question& question, const std::vector<Record>& records);
  void TakeService(const Name& name, const std::vector<Record>& records);
  void TakeText(const Name& name, const std::vector<Record>& records);
  void TakeAddresses(const Question& question, const std::vector<Record>& records);
  void UseHost(const Name& name, const Name& host);
  void LeaveHost(const Name& name, const Name& host);
  void Remove(const Name& name);
  void Work(Micros now);
  void Want(const Question& question);
  void Push(Wanted wanted, bool first);
  void EmitAsks();
  void Arm(const Question& question, Fetch& fetch, Micros due);
  void Disarm(const Question& question, const Fetch& fetch);
  void RunFetches(Micros now);
  Fetch* FetchOf(const Question& question);
  Micros RefreshAt(Micros now, const std::vector<Record>& records) const;
  bool FirstIsWhole(Micros now) const;
  bool HostKnown(const Host& host) const;
  bool Allowed(const std::string& address) const;
  // Nothing: it is not to be listed; `keep`: for a reason that leaves what was told before.
  std::optional<ListedServer> ListedFor(const Name& name, const Instance& instance, bool& keep) const;
  void List(const Name& name, Instance& instance, EndpointList& listing);
  void Bad(const Name& name, Instance& instance, const std::string& text);
  void Say(const std::string& event, const std::string& text);
  void Well(const std::string& event) { said_.erase(event); }

  ZoneOptions options_;
  Name browse_, apex_;
  BrowserCounters counters_;
  std::optional<std::uint32_t> serial_;
  Micros next_look_ = 0, pointers_due_ = 0, first_told_ = 0, transfer_from_ = 0, now_ = 0;
  bool looking_ = false, told_ = false, whole_sent_ = false;
  std::size_t look_resolver_ = 0;
  std::optional<std::uint32_t> look_serial_;  // what the look's resolver said of the zone
  ZoneCopy copy_;                             // filled by transfers alone
  std::map<Name, Instance> instances_;
  std::map<Name, Host> hosts_;  // leave with their last user
  std::set<Name> dirty_;
  std::map<std::string, Name> ids_;  // whose instance has that id
  bool contested_ = false;           // an instance wanted an id that was taken
  std::vector<ListedServer> gone_;
  std::map<AskId, Wanted> out_;
  std::set<Question> open_;  // waiting or out
  std::deque<Wanted> waiting_;
  std::deque<Question> todo_;  // sets of the copy that are to be taken
  std::set<std::pair<Micros, Question>> due_;
  std::vector<Ask> asks_;
  std::vector<std::size_t> distrusted_;
  std::vector<Remark> remarks_;
  std::set<std::string> said_;
  AskId next_ask_ = 1;
  std::uint64_t version_ = 0;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_BROWSER_HPP_
