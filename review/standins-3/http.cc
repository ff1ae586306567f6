#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

namespace review::http {
namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr int kBacklog = 128;
constexpr int kFirstPort = 12'000;
constexpr int kLastPort = 30'000;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return text;
}

std::string Decoded(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> HeadersOf(std::istream& head) {
  std::map<std::string, std::string> headers;
  std::string line;
  while (std::getline(head, line) && line != "\r") {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string text = line.substr(colon + 1);
    text.erase(0, text.find_first_not_of(' '));
    while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
      text.pop_back();
    headers[Lower(line.substr(0, colon))] = text;
  }
  return headers;
}

void SplitTarget(const std::string& target, request& read) {
  const std::size_t mark = target.find('?');
  read.path = target.substr(0, mark);
  if (mark == std::string::npos)
    return;
  std::istringstream query(target.substr(mark + 1));
  std::string pair;
  while (std::getline(query, pair, '&')) {
    const std::size_t equals = pair.find('=');
    read.query[pair.substr(0, equals)] =
        equals == std::string::npos ? "" : Decoded(pair.substr(equals + 1));
  }
}

/// Takes a whole message off the buffer: its head and its body.
std::optional<std::pair<std::string, std::string>> TakeMessage(
    std::string& buffer) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos)
    return std::nullopt;
  const std::string head = buffer.substr(0, end + 2);
  std::istringstream lines(head);
  std::string first;
  std::getline(lines, first);
  auto headers = HeadersOf(lines);
  const auto length = static_cast<std::size_t>(
      std::strtoul(headers["content-length"].c_str(), nullptr, 10));
  if (buffer.size() < end + 4 + length)
    return std::nullopt;
  std::string body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return std::pair(head, std::move(body));
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool ReadSome(int socket, std::string& buffer) {
  char bytes[kReadBytes];
  const ssize_t count = recv(socket, bytes, kReadBytes, 0);
  if (count <= 0)
    return false;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

void ServeConnection(int socket, const handler& handle) {
  std::string buffer;
  while (true) {
    auto message = TakeMessage(buffer);
    if (!message) {
      if (!ReadSome(socket, buffer))
        break;
      continue;
    }
    std::istringstream head(message->first);
    request read;
    std::string target;
    std::string version;
    head >> read.method >> target >> version;
    std::string rest;
    std::getline(head, rest);
    read.headers = HeadersOf(head);
    SplitTarget(target, read);
    read.body = std::move(message->second);
    const auto answer = handle(read);
    if (!answer) {
      // Silent from now on: reads until the peer gives up.
      while (ReadSome(socket, buffer))
        buffer.clear();
      break;
    }
    const std::string bytes =
        "HTTP/1.1 " + std::to_string(answer->code) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
    if (!SendAll(socket, bytes))
      break;
  }
  close(socket);
}

}  // namespace

bool Serve(std::uint16_t port, handler handle) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return false;
  }
  std::thread([listener, handle = std::move(handle)] {
    while (true) {
      const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      std::thread(ServeConnection, accepted, std::cref(handle)).detach();
    }
  }).detach();
  return true;
}

std::uint16_t FreePort() {
  // Below the ports that the kernel gives to connections of clients.
  static std::mt19937 random(std::random_device{}());
  static std::set<int> given;
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  while (true) {
    const int port = ports(random);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(static_cast<std::uint16_t>(port));
    const bool is_free =
        bind(probe, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0;
    close(probe);
    if (is_free && given.insert(port).second)
      return static_cast<std::uint16_t>(port);
  }
}

std::optional<response> Call(const call& sent) {
  using clock = std::chrono::steady_clock;
  const auto end = clock::now() + std::chrono::milliseconds(sent.timeout_ms);
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(sent.port);
  std::optional<response> answer;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    std::string bytes = sent.method + " " + sent.target + " HTTP/1.1\r\n";
    for (const auto& [name, text] : sent.headers)
      bytes += name + ": " + text + "\r\n";
    bytes += "Content-Length: " + std::to_string(sent.body.size()) +
             "\r\n\r\n" + sent.body;
    std::string buffer;
    bool open = SendAll(connection, bytes);
    while (open && !answer) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end - clock::now());
      pollfd ready{connection, POLLIN, 0};
      if (left.count() <= 0 ||
          poll(&ready, 1, static_cast<int>(left.count())) <= 0)
        break;
      open = ReadSome(connection, buffer);
      if (auto message = TakeMessage(buffer)) {
        std::istringstream head(message->first);
        std::string version;
        answer.emplace();
        head >> version >> answer->code;
        answer->body = std::move(message->second);
      }
    }
  }
  close(connection);
  return answer;
}

}  // namespace review::http
