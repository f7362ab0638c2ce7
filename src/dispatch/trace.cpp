#include "src/dispatch/trace.hpp"

#include <cstdint>
#include <string_view>

#include "src/dispatch/outcome.hpp"

namespace tulipyoke::trace {
namespace {

// Builds a line of `name=value` pairs.
class LineBuilder {
 public:
  explicit LineBuilder(std::string_view event_name) : text_(event_name) {}

  LineBuilder& AddField(std::string_view name, std::string_view value) {
    text_ += ' ';
    text_ += name;
    text_ += '=';
    text_ += value;
    return *this;
  }
  LineBuilder& AddNumber(std::string_view name, std::int64_t value) {
    return AddField(name, std::to_string(value));
  }
  LineBuilder& AddRequest(RequestId request) { return AddField("request", std::to_string(request)); }
  std::string text() const { return text_; }

 private:
  std::string text_;
};

std::string_view ResultName(Result result) {
  switch (result) {
    case Result::kServed:
      return "served";
    case Result::kRejected:
      return "refused";
    case Result::kFailed:
      break;
  }
  return "failed";
}

std::string Format(const RequestReceived& event) {
  LineBuilder line("taken");
  line.AddField("id", event.client_request_id)
      .AddRequest(event.request)
      .AddField("class", event.class_name)
      .AddNumber("group", event.group)
      .AddNumber("wait", event.timeout);
  if (event.waited > 0) line.AddNumber("waited", event.waited);
  if (event.preceding_write) line.AddNumber("behind", static_cast<std::int64_t>(*event.preceding_write));
  return line.text();
}

std::string Format(const RequestFinished& event) {
  return LineBuilder(ResultName(event.result))
      .AddRequest(event.request)
      .AddNumber("retry_after", event.retry_after)
      .text();
}

std::string Format(const AttemptStarted& event) {
  return LineBuilder("sent")
      .AddRequest(event.request)
      .AddNumber("attempt", event.attempt)
      .AddField("server", event.server)
      .AddNumber("within", event.timeout)
      .text();
}

std::string Format(const AttemptFinished& event) {
  return LineBuilder("ended")
      .AddRequest(event.request)
      .AddNumber("attempt", event.attempt)
      .AddField("server", event.server)
      .AddField("status", StatusName(event.status))
      .AddNumber("role", static_cast<int>(event.role))
      .AddNumber("after", event.elapsed)
      .text();
}

std::string Format(const ProbeFinished& event) {
  return LineBuilder("probed")
      .AddField("server", event.server)
      .AddField("status", StatusName(event.status))
      .AddNumber("after", event.elapsed)
      .text();
}

std::string Format(const EndpointsUpdated& event) {
  std::string text = LineBuilder("heard").AddNumber("complete", event.complete ? 1 : 0).text();
  for (const EndpointsUpdated::Server& server : event.servers) {
    text += " " + LineBuilder(server.id).AddNumber("state", static_cast<int>(server.state)).text();
  }
  return text;
}

}  // namespace

std::string ToText(const Event& event) {
  return std::visit([](const auto& typed_event) { return Format(typed_event); }, event);
}

}  // namespace tulipyoke::trace
