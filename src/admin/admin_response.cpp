#include "src/admin/admin_response.hpp"

namespace tulipyoke::net {

std::string ToHttp(const AdminResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " + http_status_str(response.status);
  text += "\r\nContent-Type: text/plain";
  text += "\r\nContent-Length: " + std::to_string(response.body.size());
  if (!response.allow.empty()) text += "\r\nAllow: " + response.allow;
  text += "\r\nConnection: close\r\n\r\n";
  return text + response.body;
}

}  // namespace tulipyoke::net
