#ifndef DAISYWINCH_TRANSPORT_ASIO_H
#define DAISYWINCH_TRANSPORT_ASIO_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "state/clock.h"
#include "state/settings.h"

namespace daisywinch {

namespace asio = boost::asio;

using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Timer on the boot-time clock, which all other code of the node uses too.
using Timer = asio::basic_waitable_timer<BootTime>;

template <typename Result = void>
using Awaitable = asio::awaitable<Result>;

/// Completion token for co_await that stores the error instead of throwing it.
inline auto Await(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

inline Tcp::endpoint ToEndpoint(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_ASIO_H
