// Package standin runs stand-ins for what stands around the system, as an INI
// file names them, so that routers can be tried as processes of their own. The
// stand-ins themselves are in the packages below this one.
//
// The file is read strictly: all that is wrong with it is reported together, and
// nothing is started. Where one of the stand-ins cannot start, those that did are
// closed again.
package standin
