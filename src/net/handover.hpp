// An upgrade without a gap: two processes of one router, the older and the newer, tell each other over a Unix
// socket what a rule needs both to know, and who of them takes the clients. Lines of text, one message each.
#ifndef TULIPYOKE_SRC_NET_HANDOVER_HPP_
#define TULIPYOKE_SRC_NET_HANDOVER_HPP_

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::net {

// The newer one is here; the older one has made room and has told all it knows; the newer one takes the
// clients; whoever says so ends, with all that it took answered.
enum class HandoverStep { kHello, kSynced, kServing, kDone };
// How many descriptors whoever says so holds at the most from now on.
struct HandoverHolds {
  int descriptors = 0;
};
using HandoverMessage = std::variant<HandoverStep, HandoverHolds, SessionUpdate, ServerUpdate>;

std::string ToLine(const HandoverMessage& message);
// None where it is no line of this protocol.
std::optional<HandoverMessage> ParseHandoverLine(std::string_view line);

class Handover {
 public:
  enum class Partner { kOlder, kNewer };
  struct Events {
    std::function<void(Partner, HandoverStep)> stepped;
    std::function<void(const HandoverHolds&)> holds;
    std::function<void(const SessionUpdate&)> session;
    std::function<void(const ServerUpdate&)> server;
    // `done`: the partner had said that it ends.
    std::function<void(Partner, bool done)> parted;
  };

  // `folder` is one that all processes of this router share, `name` the router's.
  Handover(asio::io_context& io, const std::string& folder, const std::string& name, std::uint64_t seed,
           Events events);
  ~Handover();

  // Whether an older process is there; it is greeted.
  bool JoinOlder();
  // From now on a newer process finds this one.
  void Offer();
  void Step(Partner partner, HandoverStep step) { Send(partner, ToLine(step)); }
  // To whoever is there, but for the one who told it here.
  void Tell(const HandoverMessage& message);
  void TellNewer(const HandoverMessage& message) { Send(Partner::kNewer, ToLine(message)); }
  // Takes in what has been told up to now.
  void Poll();
  // Breaks off with a partner that says nothing, or says good-bye to all.
  void Part(Partner partner);
  void Stop();

  bool has(Partner partner) const { return link(partner) != nullptr; }
  bool alone() const { return !has(Partner::kOlder) && !has(Partner::kNewer); }

 private:
  using Socket = asio::local::stream_protocol::socket;
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  const LinkPtr& link(Partner partner) const { return partner == Partner::kOlder ? older_ : newer_; }
  void Keep(Partner partner, Socket socket);
  void Accept();
  void AwaitBytes(const LinkPtr& link);
  void Read(const LinkPtr& link);
  void Take(const LinkPtr& link, std::string_view line);
  void Send(Partner partner, const std::string& line);
  void Write(const LinkPtr& link);
  void End(const LinkPtr& link);

  asio::io_context& io_;
  std::string path_, own_path_;
  Events events_;
  asio::local::stream_protocol::acceptor acceptor_;
  LinkPtr older_, newer_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_HANDOVER_HPP_
