#include "src/dnssd/browser.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace tulipyoke::dnssd {
namespace {

// After a list that lost somebody, the next look comes this soon: a record that was missing by mistake is
// back in service before its requests have gone elsewhere for long.
constexpr Micros kConfirmAfter = 250'000;
// The first list waits for its instances' addresses, but not for one that never answers.
constexpr Micros kFirstWait = 2'000'000;
// A zone whose server refuses transfers is browsed by questions; transfers are tried again then.
constexpr Micros kTransferAgain = 60'000'000;
// Records of a zone beside the four or five an instance has.
constexpr std::size_t kRecordsAnInstance = 6;

// Sets of records, and instances, that one turn of the loop takes in.
constexpr std::size_t kSlice = 300;
// Where nobody says how long an absence holds.
constexpr int kLooksANegative = 20;
// Single records that cannot be used are said so often, then only counted.
constexpr std::uint64_t kBadSaid = 20;

const char* WhyText(Trouble trouble) {
  switch (trouble) {
    case Trouble::kTimeout:
      return "no answer in time";
    case Trouble::kUnreachable:
      return "cannot be reached";
    case Trouble::kServFail:
      return "SERVFAIL";
    case Trouble::kRefused:
      return "refused";
    case Trouble::kSpoilt:
      return "an answer that cannot be used";
    case Trouble::kNone:
      break;
  }
  return "";
}

std::vector<Record> Matching(const std::vector<Record>& records, const Question& question) {
  std::vector<Record> matching;
  std::copy_if(records.begin(), records.end(), std::back_inserter(matching),
               [&](const Record& r) { return r.type == question.type && r.name == question.name; });
  return matching;
}

}  // namespace

std::optional<Mode> ModeFrom(const std::string& text) {
  if (text == "poll") return Mode::kPoll;
  if (text == "serial") return Mode::kSerial;
  if (text == "transfer") return Mode::kTransfer;
  return std::nullopt;
}

ZoneBrowser::ZoneBrowser(const ZoneOptions& options)
    : options_(options),
      browse_(Canonical(options.service + "." + options.zone)),
      apex_(Canonical(options.zone)) {}

Micros ZoneBrowser::NextDue() const {
  // A look under way ends by its answers, which have a time limit of their own.
  Micros due = looking_ ? std::numeric_limits<Micros>::max() : next_look_;
  if (!todo_.empty() || (whole_sent_ && !dirty_.empty())) return now_;
  if (!due_.empty()) due = std::min(due, due_.begin()->first);
  if (told_ && !whole_sent_) due = std::min(due, first_told_ + kFirstWait);
  return due;
}

void ZoneBrowser::Tick(Micros now) {
  now_ = now;
  if (!looking_ && now >= next_look_) BeginLook();
  Work(now);
  RunFetches(now);
  EmitAsks();
}

void ZoneBrowser::Settle(Micros now, const Settled& settled) {
  now_ = now;
  const auto it = out_.find(settled.ask);
  if (it == out_.end()) return;
  const Wanted wanted = std::move(it->second);
  out_.erase(it);
  open_.erase(wanted.question);
  if (wanted.question.type == RecordType::kSoa) {
    SettleSoa(now, settled);
  } else if (wanted.question.type == RecordType::kPtr) {
    SettlePointers(now, settled);
  } else if (wanted.question.type == RecordType::kIxfr || wanted.question.type == RecordType::kAxfr) {
    SettleTransfer(now, settled);
  } else {
    SettleSet(now, wanted.question, settled);
  }
  EmitAsks();
}

// ---- Looks: what is there, and is it news
// ------------------------------------------------------------------

void ZoneBrowser::BeginLook() {
  looking_ = true;
  look_serial_.reset();
  ++counters_.looks;
  Push({{apex_, RecordType::kSoa}, std::nullopt, 0}, true);
}

void ZoneBrowser::EndLook(Micros now, bool good) {
  looking_ = false;
  next_look_ = now + (good ? options_.look : std::min(options_.look, options_.retry));
}

void ZoneBrowser::NothingTold(Micros now, const std::string& event, const std::string& why) {
  Say(event, why + "; the list holds");
  EndLook(now, false);
}

void ZoneBrowser::OldCopy(Micros now, std::size_t resolver, std::uint32_t serial) {
  ++counters_.old_copies;
  distrusted_.push_back(resolver);
  NothingTold(now, "dns_old_copy",
              "an answer from an old copy: serial " + std::to_string(serial) + " after " +
                  std::to_string(serial_.value_or(0)));
}

bool ZoneBrowser::Authoritative(const Message& message) const {
  if (message.authoritative) return true;
  // A resolver that looked it up passes on who said so: the SOA of a zone that holds the name (RFC 2308, 3).
  return std::any_of(message.authority.begin(), message.authority.end(), [&](const Record& r) {
    return r.type == RecordType::kSoa && (browse_ == r.name || browse_.ends_with("." + r.name));
  });
}

std::optional<std::uint32_t> ZoneBrowser::SerialIn(const std::vector<Record>& records, const Name& apex) {
  for (const Record& record : records) {
    const auto* soa = std::get_if<SoaData>(&record.data);
    if (soa && record.name == apex) return soa->serial;
  }
  return std::nullopt;
}

void ZoneBrowser::SettleSoa(Micros now, const Settled& settled) {
  if (settled.trouble != Trouble::kNone) {
    ++counters_.failed;
    return NothingTold(now, "dns_silent", WhyText(settled.trouble));
  }
  Well("dns_silent");
  look_serial_ = SerialIn(settled.messages.front().answers, apex_);
  if (look_serial_ && serial_ && SerialBefore(*look_serial_, *serial_)) {
    return OldCopy(now, settled.resolver, *look_serial_);
  }
  look_resolver_ = settled.resolver;
  const bool moved = !told_ || !look_serial_ || look_serial_ != serial_;
  if (options_.mode != Mode::kPoll && !moved && now < pointers_due_) {
    Well("dns_old_copy");
    return EndLook(now, true);
  }
  if (options_.mode == Mode::kTransfer && look_serial_ && now >= transfer_from_) {
    if (!copy_.empty() && copy_.serial() == *look_serial_) {
      pointers_due_ = now + options_.most_refresh;
      return EndLook(now, true);
    }
    const RecordType type = copy_.empty() ? RecordType::kAxfr : RecordType::kIxfr;
    return Push({{apex_, type}, look_resolver_, copy_.serial()}, true);
  }
  AskPointers();
}

void ZoneBrowser::AskPointers() { Push({{browse_, RecordType::kPtr}, look_resolver_, 0}, true); }

void ZoneBrowser::SettlePointers(Micros now, const Settled& settled) {
  if (settled.trouble != Trouble::kNone) {
    ++counters_.failed;
    return NothingTold(now, "dns_silent", WhyText(settled.trouble));
  }
  const Message& message = settled.messages.front();
  const std::vector<Record> pointers = Matching(message.answers, {browse_, RecordType::kPtr});
  // An empty list takes every server out of service, so that somebody who has the word must have said it.
  if (pointers.empty() && (!message.answers.empty() || !Authoritative(message))) {
    ++counters_.no_authority;
    return NothingTold(now, "dns_no_authority", "an empty answer without authority");
  }
  const auto serial = SerialIn(message.authority, apex_);
  if (serial && serial_ && SerialBefore(*serial, *serial_)) return OldCopy(now, settled.resolver, *serial);
  if (pointers.size() > options_.most_instances) {
    ++counters_.over;
    return NothingTold(now, "dns_too_many",
                       std::to_string(pointers.size()) + " instances are more than " +
                           std::to_string(options_.most_instances));
  }
  copy_.Clear();
  const bool moved = !told_ || look_serial_ != serial_;
  Believe(now, pointers);
  // What comes along need not be asked for (RFC 6763, 12.1).
  std::map<Question, std::vector<Record>> along;
  for (const Record& record : message.additional) along[{record.name, record.type}].push_back(record);
  for (const auto& [question, records] : along) {
    if (FetchOf(question)) TakeSet(now, question, records);
  }
  // Hosts whose SRV stood behind them in the order of names.
  for (const auto& [question, records] : along) {
    if (const Fetch* fetch = FetchOf(question); fetch && !fetch->known) TakeSet(now, question, records);
  }
  // The serial says that something has changed, not what.
  if (!moved || !whole_sent_) return;
  const auto anew = [&](const Question& question, Fetch& fetch) {
    if (fetch.known && !along.contains(question)) Arm(question, fetch, now);
  };
  for (auto& [name, instance] : instances_) {
    anew({name, RecordType::kSrv}, instance.srv);
    anew({name, RecordType::kTxt}, instance.txt);
  }
  for (auto& [name, host] : hosts_) {
    anew({name, RecordType::kA}, host.a);
    anew({name, RecordType::kAaaa}, host.aaaa);
  }
}

void ZoneBrowser::SettleTransfer(Micros now, const Settled& settled) {
  std::vector<Record> records;
  if (settled.trouble == Trouble::kNone) {
    for (const Message& message : settled.messages) {
      records.insert(records.end(), message.answers.begin(), message.answers.end());
    }
  }
  const bool anew = copy_.empty();
  auto changed = copy_.Apply(records, options_.most_instances * kRecordsAnInstance);
  if (!changed) {
    ++counters_.transfers_refused;
    if (!copy_.empty() && settled.trouble == Trouble::kNone) {
      // Differences that do not fit: the whole zone makes them up.
      copy_.Clear();
      return Push({{apex_, RecordType::kAxfr}, look_resolver_, 0}, true);
    }
    copy_.Clear();
    transfer_from_ = now + kTransferAgain;
    Say("dns_no_transfer", "no transfer of the zone: it is browsed by questions");
    return AskPointers();
  }
  ++counters_.transfers;
  Well("dns_no_transfer");
  look_serial_ = copy_.serial();
  const Question browse{browse_, RecordType::kPtr};
  const std::vector<Record>& pointers = copy_.Get(browse);
  if (pointers.size() > options_.most_instances) {
    ++counters_.over;
    return NothingTold(now, "dns_too_many", std::to_string(pointers.size()) + " instances are too many");
  }
  // What changed is told against the copy: without one before, everything may have.
  if (anew) {
    for (const auto& [name, instance] : instances_) {
      changed->insert({name, RecordType::kSrv});
      changed->insert({name, RecordType::kTxt});
    }
    for (const auto& [name, host] : hosts_) {
      changed->insert({name, RecordType::kA});
      changed->insert({name, RecordType::kAaaa});
    }
  }
  if (changed->contains(browse) || anew) {
    Believe(now, pointers);
  } else {
    serial_ = look_serial_;
    ++counters_.told;
    EndLook(now, true);
  }
  pointers_due_ = now + options_.most_refresh;
  for (const Question& question : *changed) {
    if (question.type != RecordType::kPtr && FetchOf(question)) todo_.push_back(question);
  }
  Work(now);
}

void ZoneBrowser::Believe(Micros now, const std::vector<Record>& pointers) {
  if (!told_) first_told_ = now;
  told_ = true;
  ++counters_.told;
  serial_ = look_serial_;
  for (const char* event : {"dns_old_copy", "dns_no_authority", "dns_too_many"}) Well(event);
  std::map<Name, const PointerData*> named;
  for (const Record& record : pointers) {
    const auto* pointer = std::get_if<PointerData>(&record.data);
    if (pointer->parent == browse_ && !pointer->label.empty())
      named[pointer->target] = pointer;
    else
      ++counters_.bad_records;
  }
  std::vector<Name> lost;
  for (const auto& [name, instance] : instances_) {
    if (!named.contains(name)) lost.push_back(name);
  }
  for (const Name& name : lost) Remove(name);
  for (const auto& [name, pointer] : named) {
    const auto [it, added] = instances_.try_emplace(name);
    if (!added) continue;
    it->second.label = pointer->label;
    Want({name, RecordType::kSrv});
    Want({name, RecordType::kTxt});
  }
  pointers_due_ = RefreshAt(now, pointers);
  EndLook(now, true);
  if (!lost.empty()) next_look_ = std::min(next_look_, now + kConfirmAfter);
}

// ---- Sets of records
// ---------------------------------------------------------------------------------------

ZoneBrowser::Fetch* ZoneBrowser::FetchOf(const Question& question) {
  if (question.type == RecordType::kSrv || question.type == RecordType::kTxt) {
    const auto it = instances_.find(question.name);
    if (it == instances_.end()) return nullptr;
    return question.type == RecordType::kSrv ? &it->second.srv : &it->second.txt;
  }
  if (question.type != RecordType::kA && question.type != RecordType::kAaaa) return nullptr;
  const auto it = hosts_.find(question.name);
  if (it == hosts_.end()) return nullptr;
  return question.type == RecordType::kA ? &it->second.a : &it->second.aaaa;
}

void ZoneBrowser::Arm(const Question& question, Fetch& fetch, Micros due) {
  Disarm(question, fetch);
  fetch.due = due;
  due_.emplace(due, question);
}

void ZoneBrowser::Disarm(const Question& question, const Fetch& fetch) { due_.erase({fetch.due, question}); }

void ZoneBrowser::RunFetches(Micros now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const Question question = due_.begin()->second;
    due_.erase(due_.begin());
    Want(question);
  }
}

// What a transfer brought is taken in slices: thousands of records in one turn would keep requests waiting.
void ZoneBrowser::Work(Micros now) {
  for (std::size_t done = 0; done < kSlice && !todo_.empty(); ++done) {
    const Question question = std::move(todo_.front());
    todo_.pop_front();
    // The copy may have been lost meanwhile: then it is asked for.
    if (copy_.empty())
      Push({question, std::nullopt, 0}, false);
    else
      TakeSet(now, question, copy_.Get(question));
  }
}

void ZoneBrowser::Want(const Question& question) {
  if (!copy_.empty()) return todo_.push_back(question);
  Push({question, std::nullopt, 0}, false);
}

void ZoneBrowser::Push(Wanted wanted, bool first) {
  if (!open_.insert(wanted.question).second) return;
  if (first)
    waiting_.push_front(std::move(wanted));
  else
    waiting_.push_back(std::move(wanted));
}

// A look never waits behind the questions about single instances.
void ZoneBrowser::EmitAsks() {
  while (!waiting_.empty()) {
    const RecordType type = waiting_.front().question.type;
    const bool look = type != RecordType::kSrv && type != RecordType::kTxt && type != RecordType::kA &&
                      type != RecordType::kAaaa;
    if (!look && out_.size() >= options_.most_asks) return;
    Wanted wanted = std::move(waiting_.front());
    waiting_.pop_front();
    // It has left meanwhile, or came along with another answer.
    const Fetch* fetch = look ? nullptr : FetchOf(wanted.question);
    if (!look && (!fetch || (fetch->known && fetch->due > now_))) {
      open_.erase(wanted.question);
      continue;
    }
    // Single records are asked of whoever showed the newest serial: another one may hold an old copy.
    if (!look) wanted.at = look_resolver_;
    const AskId id = next_ask_++;
    asks_.push_back({id, wanted.question, wanted.at, wanted.serial});
    out_[id] = std::move(wanted);
  }
}

void ZoneBrowser::SettleSet(Micros now, const Question& question, const Settled& settled) {
  Fetch* fetch = FetchOf(question);
  if (!fetch) return;
  if (settled.trouble != Trouble::kNone) {
    ++counters_.failed;
    return Arm(question, *fetch, now + options_.retry);
  }
  const Message& message = settled.messages.front();
  const std::vector<Record> records = Matching(message.answers, question);
  if (records.empty() && (!message.answers.empty() || !Authoritative(message))) {
    ++counters_.no_authority;
    return Arm(question, *fetch, now + options_.retry);
  }
  const auto serial = SerialIn(message.authority, apex_);
  if (serial && serial_ && SerialBefore(*serial, *serial_)) {
    ++counters_.old_copies;
    return Arm(question, *fetch, now + options_.retry);
  }
  TakeSet(now, question, records);
  if (!records.empty()) return;
  // RFC 2308, 5: how long "there is none" holds.
  for (const Record& record : message.authority) {
    const auto* soa = std::get_if<SoaData>(&record.data);
    Fetch* none = FetchOf(question);
    if (!soa || !none) continue;
    const auto wait = static_cast<Micros>(1e6 * options_.refresh_fraction * soa->negative_ttl);
    return Arm(question, *none, now + std::clamp(wait, options_.least_refresh, options_.most_refresh));
  }
}

Micros ZoneBrowser::RefreshAt(Micros now, const std::vector<Record>& records) const {
  if (records.empty()) return now + options_.look * kLooksANegative;
  std::uint32_t ttl = records.front().ttl;
  for (const Record& record : records) ttl = std::min(ttl, record.ttl);
  const auto wait = static_cast<Micros>(options_.refresh_fraction * 1e6 * ttl);
  return now + std::clamp(wait, options_.least_refresh, options_.most_refresh);
}

void ZoneBrowser::TakeSet(Micros now, const Question& question, const std::vector<Record>& records) {
  Fetch* fetch = FetchOf(question);
  if (!fetch) return;
  fetch->known = true;
  // A transferred copy is brought up to date by the next transfer, never by a question.
  if (copy_.empty())
    Arm(question, *fetch, RefreshAt(now, records));
  else
    Disarm(question, *fetch);
  if (question.type == RecordType::kSrv) return TakeService(question.name, records);
  if (question.type == RecordType::kTxt) return TakeText(question.name, records);
  TakeAddresses(question, records);
}

void ZoneBrowser::TakeService(const Name& name, const std::vector<Record>& records) {
  Instance& instance = instances_.at(name);
  std::vector<ServiceData> services;
  for (const Record& record : records) services.push_back(std::get<ServiceData>(record.data));
  std::optional<ServiceData> service = ChooseService(services);
  // RFC 2782: the root as target says that there is decidedly no such service.
  if (service && service->target == ".") service.reset();
  dirty_.insert(name);
  instance.service_bad = service && service->port == 0;
  if (instance.service_bad) return Bad(name, instance, "SRV names port 0");
  const Name before = instance.service ? instance.service->target : Name();
  instance.service = service;
  if (service) UseHost(name, service->target);
  if (!before.empty() && (!service || service->target != before)) LeaveHost(name, before);
}

void ZoneBrowser::TakeText(const Name& name, const std::vector<Record>& records) {
  Instance& instance = instances_.at(name);
  dirty_.insert(name);
  Attributes attributes;
  std::optional<TextFault> fault;
  // RFC 6763, 6.8: several records would be several versions; none is told as none known here.
  if (records.size() > 1) fault = TextFault{"TXT", "stands there more than once"};
  if (records.size() == 1) fault = ReadAttributes(std::get<TextData>(records[0].data), attributes);
  instance.text_bad = fault.has_value();
  if (fault) return Bad(name, instance, fault->key + " " + fault->reason);
  instance.attributes = attributes;
}

void ZoneBrowser::TakeAddresses(const Question& question, const std::vector<Record>& records) {
  Host& host = hosts_.at(question.name);
  std::vector<std::string>& addresses =
      question.type == RecordType::kA ? host.a_addresses : host.aaaa_addresses;
  addresses.clear();
  for (const Record& record : records) addresses.push_back(std::get<AddressData>(record.data).address);
  std::sort(addresses.begin(), addresses.end());
  // IPv6 is asked for where IPv4 has nothing.
  if (!HostKnown(host) && !host.aaaa.known) Want({question.name, RecordType::kAaaa});
  dirty_.insert(host.users.begin(), host.users.end());
}

void ZoneBrowser::UseHost(const Name& name, const Name& host) {
  const auto [it, added] = hosts_.try_emplace(host);
  it->second.users.insert(name);
  if (!added) return;
  Want({host, RecordType::kA});
}

void ZoneBrowser::LeaveHost(const Name& name, const Name& host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return;
  it->second.users.erase(name);
  if (!it->second.users.empty()) return;
  Disarm({host, RecordType::kA}, it->second.a);
  Disarm({host, RecordType::kAaaa}, it->second.aaaa);
  hosts_.erase(it);
}

void ZoneBrowser::Remove(const Name& name) {
  const auto it = instances_.find(name);
  Instance& instance = it->second;
  Disarm({name, RecordType::kSrv}, instance.srv);
  Disarm({name, RecordType::kTxt}, instance.txt);
  if (instance.service) LeaveHost(name, instance.service->target);
  if (instance.told) {
    ids_.erase(instance.told->id);
    gone_.push_back(*instance.told);
  }
  dirty_.erase(name);
  instances_.erase(it);
  if (contested_) {
    contested_ = false;
    for (const auto& [other, unused] : instances_) dirty_.insert(other);
  }
}

// ---- The list
// ----------------------------------------------------------------------------------------------

bool ZoneBrowser::Allowed(const std::string& address) const {
  if (!IsUnicast(address)) return false;
  return options_.allowed.empty() ||
         std::any_of(options_.allowed.begin(), options_.allowed.end(),
                     [&](const AddressBlock& block) { return block.Holds(address); });
}

// Whether there is nothing more to ask for its address.
bool ZoneBrowser::HostKnown(const Host& host) const {
  const auto allowed = [&](const std::string& address) { return Allowed(address); };
  return host.a.known &&
         (host.aaaa.known || std::any_of(host.a_addresses.begin(), host.a_addresses.end(), allowed));
}

std::optional<ListedServer> ZoneBrowser::ListedFor(const Name& name, const Instance& instance,
                                                   bool& keep) const {
  // What is bad or not known yet leaves the last good word; what is told to be no more does not.
  keep = instance.service_bad || instance.text_bad || !instance.srv.known || !instance.txt.known;
  if (keep || !instance.service) return std::nullopt;
  const auto host = hosts_.find(instance.service->target);
  if (host == hosts_.end()) return std::nullopt;
  const auto& [unused, h] = *host;
  std::vector<std::string> addresses;
  for (const auto* list : {&h.a_addresses, &h.aaaa_addresses}) {
    for (const std::string& address : *list) {
      if (Allowed(address)) addresses.push_back(address);
    }
  }
  if (addresses.empty()) {
    keep = !HostKnown(h) || !h.a_addresses.empty() || !h.aaaa_addresses.empty();
    return std::nullopt;
  }
  const auto listed = [&](const std::string& address) {
    return ToListed(name, *instance.attributes, options_.site, address, instance.service->port);
  };
  // One that is in use stays so for as long as it stands there, whatever else does.
  if (instance.told) {
    for (const std::string& address : addresses) {
      if (listed(address).address == instance.told->address) return listed(address);
    }
  }
  // IPv4 first; but it may still be on its way.
  if (!h.a.known) {
    keep = true;
    return std::nullopt;
  }
  return listed(addresses.front());
}

void ZoneBrowser::List(const Name& name, Instance& instance, EndpointList& listing) {
  bool keep = false;
  std::optional<ListedServer> listed = ListedFor(name, instance, keep);
  if (!listed && keep) {
    const bool no_address = !instance.service_bad && !instance.text_bad && instance.srv.known &&
                            instance.txt.known && instance.service &&
                            hosts_.contains(instance.service->target);
    if (no_address) {
      if (HostKnown(hosts_.at(instance.service->target))) Bad(name, instance, "no address that is allowed");
    }
    return;
  }
  if (listed) {
    const auto owner = ids_.find(listed->id);
    if (owner != ids_.end() && owner->second != name) {
      contested_ = true;
      Bad(name, instance, "the id " + listed->id + " is another instance's");
      listed.reset();
    }
  }
  if (instance.told && (!listed || listed->id != instance.told->id)) {
    ids_.erase(instance.told->id);
    listing.servers.push_back(*instance.told);
    listing.servers.back().state = ServerState::kGone;
    instance.told.reset();
  }
  if (!listed) return;
  ids_[listed->id] = name;
  instance.trouble.clear();
  if (instance.told == listed) return;
  instance.told = listed;
  listing.servers.push_back(*listed);
}

bool ZoneBrowser::FirstIsWhole(Micros now) const {
  if (!todo_.empty()) return false;
  if (now >= first_told_ + kFirstWait) return true;
  return std::all_of(instances_.begin(), instances_.end(), [&](const auto& item) {
    const Instance& instance = item.second;
    if (!instance.srv.known || !instance.txt.known) return false;
    if (!instance.service) return true;
    const auto host = hosts_.find(instance.service->target);
    return host == hosts_.end() || HostKnown(host->second);
  });
}

std::optional<EndpointList> ZoneBrowser::TakeListing() {
  if (!told_ || (!whole_sent_ && !FirstIsWhole(now_))) return std::nullopt;
  EndpointList listing;
  listing.complete = !whole_sent_;
  for (ListedServer& listed : gone_) {
    listed.state = ServerState::kGone;
    listing.servers.push_back(std::move(listed));
  }
  gone_.clear();
  // The first list is a whole; later ones come in slices, but for who is gone.
  for (std::size_t done = 0; !dirty_.empty() && (listing.complete || done < kSlice); ++done) {
    const Name name = std::move(dirty_.extract(dirty_.begin()).value());
    const auto it = instances_.find(name);
    if (it != instances_.end()) List(name, it->second, listing);
  }
  if (listing.servers.empty() && whole_sent_) return std::nullopt;
  whole_sent_ = true;
  listing.version = ++version_;
  return listing;
}

std::vector<InstanceView> ZoneBrowser::View() const {
  std::vector<InstanceView> view;
  for (const auto& [name, instance] : instances_) {
    InstanceView row{name,
                     instance.label,
                     instance.told.value_or(ListedServer()),
                     instance.told.has_value(),
                     instance.attributes ? instance.attributes->version : "",
                     instance.trouble};
    if (!row.usable && row.trouble.empty()) row.trouble = "its records are not known yet, or it has none";
    view.push_back(std::move(row));
  }
  return view;
}

void ZoneBrowser::Bad(const Name& name, Instance& instance, const std::string& text) {
  if (instance.trouble == text) return;
  instance.trouble = text;
  if (++counters_.bad_records <= kBadSaid) remarks_.push_back({"dns_bad_record", name + ": " + text});
}

void ZoneBrowser::Say(const std::string& event, const std::string& text) {
  if (said_.insert(event).second) remarks_.push_back({event, text});
}

}  // namespace tulipyoke::dnssd
