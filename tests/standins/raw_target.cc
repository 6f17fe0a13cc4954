#include "standins/raw_target.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace daisywinch::test {

namespace {

constexpr char kAttemptId[] = "X-Daisywinch-Attempt-Id";
constexpr char kHealthPath[] = "/health";
constexpr std::string_view kPlaceholder = "{id}";
/// Time between single bytes, so that they are read one by one.
constexpr std::chrono::microseconds kByteInterval{100};

std::string ReplacePlaceholder(std::string text, std::string_view id) {
  for (std::size_t position = text.find(kPlaceholder);
       position != std::string::npos;
       position = text.find(kPlaceholder, position + id.size())) {
    text.replace(position, kPlaceholder.size(), id);
  }
  return text;
}

}  // namespace

RawTarget::RawTarget(const Address& address, const std::string& instance_id)
    : acceptor(this->context, ToEndpoint(address)) {
  this->health_answer.bytes =
      "HTTP/1.1 200 OK\r\nX-Daisywinch-Instance-Id: " + instance_id +
      "\r\nContent-Length: 0\r\n\r\n";
  asio::co_spawn(this->context, this->Accept(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

RawTarget::~RawTarget() {
  this->context.stop();
  this->thread.join();
}

void RawTarget::SetAnswer(const RawAnswer& new_answer) {
  const std::lock_guard lock(this->mutex);
  this->answer = new_answer;
}

void RawTarget::SetHealthAnswer(const RawAnswer& new_answer) {
  const std::lock_guard lock(this->mutex);
  this->health_answer = new_answer;
}

Address RawTarget::ListenAddress() const {
  const Tcp::endpoint endpoint = this->acceptor.local_endpoint();
  return {endpoint.address().to_string(), endpoint.port()};
}

Awaitable<> RawTarget::Accept() {
  while (true) {
    ErrorCode error;
    const std::shared_ptr<Tcp::socket> socket =
        std::make_shared<Tcp::socket>(this->context);
    co_await this->acceptor.async_accept(*socket, Await(error));
    if (error) {
      co_return;
    }
    socket->set_option(Tcp::no_delay(true), error);
    asio::co_spawn(this->context, this->Serve(socket), asio::detached);
  }
}

Awaitable<> RawTarget::Serve(std::shared_ptr<Tcp::socket> socket) {
  boost::beast::flat_buffer buffer;
  ErrorCode error;
  bool is_counted = false;
  bool closes = false;
  while (!error && !closes) {
    HttpRequest request;
    co_await http::async_read(*socket, buffer, request, Await(error));
    if (error) {
      break;
    }
    if (request.target() != kHealthPath) {
      ++this->request_count;
      this->connection_count += is_counted ? 0 : 1;
      is_counted = true;
    }
    const RawAnswer raw_answer = this->AnswerTo(request);
    closes = raw_answer.closes;
    co_await this->Write(*socket, raw_answer, error);
  }
  socket->close(error);
}

Awaitable<> RawTarget::Write(Tcp::socket& socket,
                             const RawAnswer& raw_answer,
                             ErrorCode& error) {
  const std::string& bytes = raw_answer.bytes;
  if (!raw_answer.in_single_bytes) {
    co_await asio::async_write(socket, asio::buffer(bytes), Await(error));
    co_return;
  }
  for (std::size_t index = 0; index < bytes.size() && !error; ++index) {
    co_await asio::async_write(socket, asio::buffer(&bytes[index], 1),
                               Await(error));
    Timer timer(this->context, kByteInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
  }
}

RawAnswer RawTarget::AnswerTo(const HttpRequest& request) const {
  const std::lock_guard lock(this->mutex);
  if (request.target() == kHealthPath) {
    return this->health_answer;
  }
  RawAnswer raw_answer = this->answer;
  raw_answer.bytes = ReplacePlaceholder(raw_answer.bytes,
                                        std::string_view(request[kAttemptId]));
  return raw_answer;
}

}  // namespace daisywinch::test
