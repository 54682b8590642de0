// Package standin runs stand-ins for the external dependencies of the system
// (platform, engines and plain services), as an INI file describes them. Routers
// can then run against them as separate processes. The stand-ins themselves are
// in the packages below this one.
//
// The file is parsed strictly: if it has errors, all of them are reported together
// and nothing is started. If a stand-in fails to start, those already started are
// closed.
package standin
