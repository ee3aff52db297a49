#include "support/loop.h"

#include "core/eventlog.h"

namespace jujube::test {

Loop::Loop()
    : m_app(m_argc, m_argv),
      m_io(kj::setupAsyncIo()),
      m_context{*m_io.provider, *m_io.lowLevelProvider, m_io.provider->getTimer()}
{
    core::startEventLog("test", false);
}

} // namespace jujube::test
