#ifndef DAISYWINCH_TRANSPORT_LISTEN_H
#define DAISYWINCH_TRANSPORT_LISTEN_H

#include "transport/asio.h"

namespace daisywinch {

/// Opens and binds an acceptor and starts to listen. Returns the error of the
/// step that failed.
ErrorCode ListenOn(Tcp::acceptor& acceptor, const Address& address);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_LISTEN_H
